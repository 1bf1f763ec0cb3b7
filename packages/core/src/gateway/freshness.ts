/**
 * Tracks the age of cached data which is confirmed by each read of the external store.
 *
 * @module
 */

/** Freshness of data that was read from a store. */
export interface Freshness {
  /** Latest time at which a read confirmed the data as current, ms; undefined before the first confirmation. */
  confirmedAt: number | undefined;
  /** Confirmations for times before this one are ignored, ms. */
  invalidBefore: number;
}

/** Creates the freshness of data that no read has confirmed yet. */
export function createFreshness(): Freshness {
  return { confirmedAt: undefined, invalidBefore: -Infinity };
}

/**
 * Records that a read confirmed the data as current at `confirmedAt`.
 *
 * `measuredAt` is the time at which this daemon's clock was read for it: with the age of another daemon's data, the
 * confirmation is older than that, and yet does not depend on what the clock did before.
 */
export function confirm(
  freshness: Freshness,
  confirmedAt: number,
  { measuredAt = confirmedAt }: { measuredAt?: number } = {},
): void {
  if (measuredAt < freshness.invalidBefore) return;
  if (
    freshness.confirmedAt !== undefined && freshness.confirmedAt >= confirmedAt
  ) return;
  freshness.confirmedAt = confirmedAt;
}

/** Drops all earlier confirmations, since the clock that dated them cannot be trusted. */
export function invalidate(freshness: Freshness, now: number): void {
  freshness.invalidBefore = now;
  freshness.confirmedAt = undefined;
}

/**
 * Returns the age of cached data, ms; infinite while no read has confirmed it.
 *
 * @example
 * ```ts
 * const freshness = createFreshness();
 * confirm(freshness, 1_000);
 * ageOf(freshness, 1_400); // 400
 * ```
 */
export function ageOf(freshness: Freshness, now: number): number {
  return freshness.confirmedAt === undefined
    ? Infinity
    : now - freshness.confirmedAt;
}
