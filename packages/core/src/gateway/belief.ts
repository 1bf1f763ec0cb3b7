/**
 * How old a belief is that an outside store confirms from time to time.
 *
 * @module
 */

/** Freshness of what was read from a store. */
export interface Belief {
  /** Newest time at which a read proved the belief current, ms; undefined before the first. */
  provedAt: number | undefined;
  /** What was proved for times before this one counts no more, ms. */
  distrustedBefore: number;
}

/** Creates a belief that nothing has proved yet. */
export function createBelief(): Belief {
  return { provedAt: undefined, distrustedBefore: -Infinity };
}

/** Notes that a read showed the belief to be current at `provedAt`. */
export function prove(belief: Belief, provedAt: number): void {
  if (provedAt < belief.distrustedBefore) return;
  if (belief.provedAt !== undefined && belief.provedAt >= provedAt) return;
  belief.provedAt = provedAt;
}

/** Drops what earlier reads proved, since the clock that dates them cannot be trusted. */
export function distrust(belief: Belief, now: number): void {
  belief.distrustedBefore = now;
  belief.provedAt = undefined;
}

/**
 * Age of a belief in ms; infinite while nothing proves it.
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
