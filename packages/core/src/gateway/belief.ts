/**
 * Tracks the age of cached data that reads of an outside store confirm from time to time.
 *
 * @module
 */

/** Freshness of data that was read from a store. */
export interface Belief {
  /** Latest time at which a read confirmed the data as current, ms; undefined before the first confirmation. */
  provedAt: number | undefined;
  /** Confirmations for times before this one are ignored, ms. */
  distrustedBefore: number;
}

/** Creates the freshness of data that no read has confirmed yet. */
export function createBelief(): Belief {
  return { provedAt: undefined, distrustedBefore: -Infinity };
}

/** Records that a read confirmed the data as current at `provedAt`. */
export function prove(belief: Belief, provedAt: number): void {
  if (provedAt < belief.distrustedBefore) return;
  if (belief.provedAt !== undefined && belief.provedAt >= provedAt) return;
  belief.provedAt = provedAt;
}

/** Drops all earlier confirmations, since the clock that dated them cannot be trusted. */
export function distrust(belief: Belief, now: number): void {
  belief.distrustedBefore = now;
  belief.provedAt = undefined;
}

/**
 * Returns the age of cached data, ms; infinite while no read has confirmed it.
 *
 * @example
 * ```ts
 * const belief = createBelief();
 * prove(belief, 1_000);
 * ageOf(belief, 1_400); // 400
 * ```
 */
export function ageOf(belief: Belief, now: number): number {
  return belief.provedAt === undefined ? Infinity : now - belief.provedAt;
}
