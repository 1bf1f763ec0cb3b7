/**
 * Rules by which targets of the product's own path and runners of a shared fleet are ejected and readmitted.
 *
 * @module
 */

/** A target is ejected after this many consecutive failures. */
export const MAX_CONSECUTIVE_FAILURES = 3;
/** Ratio of observed to expected time above which a target is a straggler. */
const STRAGGLER_FACTOR = 1.8;
/** Ratio of observed to expected time below which a target on trial has recovered. */
const RECOVERED_FACTOR = 1.3;
/** Weight of the newest ratio in a target's mean. */
const FACTOR_SAMPLE_WEIGHT = 0.4;
/** Consecutive ejections lengthen an ejection up to this multiple of its usual time. */
const MAX_BACKOFF_FACTOR = 2;

/** Returns whether one more target may be ejected without exceeding the share that may be. */
export function mayEject(
  ejected: number,
  total: number,
  { maxShare }: { maxShare: number },
): boolean {
  return ejected + 1 <= Math.floor(total * maxShare);
}

/** Returns the number of consecutive ejections after one more, as far as it lengthens them. */
export function nextEjectionCount(ejections: number): number {
  return Math.min(MAX_BACKOFF_FACTOR, ejections + 1);
}

/** Returns a target's mean ratio of observed to expected time after one more sample. */
export function nextFactor(factor: number, ratio: number): number {
  return factor + (ratio - factor) * FACTOR_SAMPLE_WEIGHT;
}

/** Returns whether a ratio of observed to expected time is that of a straggler. */
export function isStraggler(ratio: number): boolean {
  return ratio > STRAGGLER_FACTOR;
}

/** Returns whether a ratio of observed to expected time is that of a target that has recovered. */
export function hasRecovered(ratio: number): boolean {
  return ratio < RECOVERED_FACTOR;
}
