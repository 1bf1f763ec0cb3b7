/**
 * Computes when a refused caller should come back: when room is expected, spread over callers, the more urgent first.
 *
 * @module
 */
import { nextFloat, type Random } from "../util/random.ts";

/** Largest share of the caller's remaining time that a delay may take. */
const MAX_REMAINING_SHARE = 1 / 3;
/** Shortest delay that is named, ms, unless the remaining time is too short for it. */
const MIN_DELAY_MS = 50;
/** Part of a delay by which callers are spread. */
const SPREAD = 0.2;
/** Part of a delay that the most urgent callers are spared; less with each step below them. */
const URGENT_ADVANCE = 0.2;

/** Options of {@link retryDelayOf}. */
export interface RetryDelayOptions {
  /** Time until room is expected, ms; infinite where none is in sight. */
  expectedMs: number;
  /** Time left to the caller, ms. */
  remainingMs: number;
  /** Steps of priority below the most urgent one. */
  urgencyStep: number;
  random: Random;
}

/**
 * Returns the delay after which a refused caller should come back, ms; never more than a third of its remaining time.
 *
 * A request that comes back has another id, so that earlier refusals are not known; but its remaining time is shorter,
 * and so is its largest delay.
 */
export function retryDelayOf(
  { expectedMs, remainingMs, urgencyStep, random }: RetryDelayOptions,
): number {
  const cap = Math.max(0, remainingMs) * MAX_REMAINING_SHARE;
  const roomMs = Math.min(cap, Math.max(MIN_DELAY_MS, expectedMs));
  const urgencyFactor = 1 - URGENT_ADVANCE / (urgencyStep + 1);
  const spread = 1 - SPREAD * nextFloat(random);
  return Math.floor(roomMs * urgencyFactor * spread);
}
