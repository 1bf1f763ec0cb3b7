/**
 * Observes the times to the first response, and returns the delay after which a request counts as slow.
 *
 * Times are kept for the current window and the one before, so that a delay follows a change of the load within two
 * windows and rests on enough values.
 *
 * @module
 */
import { TDigest } from "tdigest";
import { MIN_OBSERVATIONS, OBSERVATION_WINDOW_MS } from "./constants.ts";
import type { ObservedTimes } from "./types.ts";

const PERCENT = 100;

/** Creates observed times without values. */
export function createObservedTimes(now: number): ObservedTimes {
  return { current: new TDigest(), previous: undefined, beganAt: now };
}

function rotate(times: ObservedTimes, now: number): void {
  const elapsed = now - times.beganAt;
  if (elapsed < OBSERVATION_WINDOW_MS) return;
  const isNext = elapsed < 2 * OBSERVATION_WINDOW_MS;
  times.previous = isNext ? times.current : undefined;
  times.current = new TDigest();
  times.beganAt = now;
}

/** Adds a time to the first response, ms. */
export function observeTime(
  times: ObservedTimes,
  ms: number,
  { now }: { now: number },
): void {
  rotate(times, now);
  times.current.push(ms);
}

/**
 * Returns the delay after which a request is slower than a percentile of the observed times, ms; undefined while too few
 * were observed.
 *
 * @example
 * ```ts
 * const times = createObservedTimes(0);
 * for (let ms = 1; ms <= 100; ms++) observeTime(times, ms, { now: 0 });
 * delayOf(times, { percentile: 95, now: 0 }); // about 95
 * ```
 */
export function delayOf(
  times: ObservedTimes,
  { percentile, now }: { percentile: number; now: number },
): number | undefined {
  rotate(times, now);
  const { current, previous } = times;
  const newest = previous === undefined || current.n >= MIN_OBSERVATIONS
    ? current
    : previous;
  if (newest.n < MIN_OBSERVATIONS) return undefined;
  return newest.percentile(percentile / PERCENT);
}
