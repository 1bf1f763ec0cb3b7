/**
 * Seeded random numbers. Their state is plain data, so that dumps and replays are exact.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const UINT32_RANGE = 2 ** 32;

/** A seeded source of random numbers. */
export interface Random {
  generator: RandomGenerator;
}

/**
 * Creates a random source from an integer seed.
 *
 * @example
 * ```ts
 * const random = createRandom(7);
 * nextFloat(random); // the same number on every run
 * ```
 */
export function createRandom(seed: number): Random {
  return { generator: xoroshiro128plus(seed) };
}

/** Draws a number in [0, 1). */
export function nextFloat(random: Random): number {
  return (random.generator.next() >>> 0) / UINT32_RANGE;
}

/** Draws an integer in [0, bound). */
export function nextIndex(random: Random, bound: number): number {
  return Math.floor(nextFloat(random) * bound);
}
