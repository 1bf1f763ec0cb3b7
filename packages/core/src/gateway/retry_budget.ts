/**
 * Limits the retries of this daemon to its share of a budget that all daemons share.
 *
 * @module
 */

/** Slices of the sliding window; with more slices, old counts expire more evenly. */
const SLICES = 10;

/** Requests and retries of one service, by slice of the window. */
export interface RetryBudget {
  slices: { index: number; requests: number; retries: number }[];
}

/** Limits of a retry budget. */
export interface RetryLimits {
  windowMs: number;
  /** Retries allowed for each request. */
  ratio: number;
  /** Retries of this daemon allowed in addition, in each window. */
  slack: number;
}

/** Creates an unused budget. */
export function createRetryBudget(): RetryBudget {
  return { slices: [] };
}

function sliceAt(budget: RetryBudget, now: number, windowMs: number) {
  const index = Math.floor(now / (windowMs / SLICES));
  budget.slices = budget.slices.filter((slice) => slice.index > index - SLICES);
  const newest = budget.slices.at(-1);
  if (newest?.index === index) return newest;
  const slice = { index, requests: 0, retries: 0 };
  budget.slices.push(slice);
  return slice;
}

/** Counts a caller's request. */
export function countRequest(
  budget: RetryBudget,
  now: number,
  { windowMs }: RetryLimits,
): void {
  sliceAt(budget, now, windowMs).requests += 1;
}

/** Returns whether a retry is left in the budget. */
export function hasRetry(
  budget: RetryBudget,
  now: number,
  limits: RetryLimits,
): boolean {
  sliceAt(budget, now, limits.windowMs);
  return retriesLeft(budget, limits) >= 1;
}

/** Returns how many retries are left in the budget. */
export function retriesLeft(
  budget: RetryBudget,
  { ratio, slack }: RetryLimits,
): number {
  let requests = 0;
  let retries = 0;
  for (const each of budget.slices) {
    requests += each.requests;
    retries += each.retries;
  }
  return requests * ratio + slack - retries;
}

/**
 * Takes one retry from the budget; returns false where none is left.
 *
 * @example
 * ```ts
 * const limits = { windowMs: 10_000, ratio: 0.2, slack: 1 };
 * const budget = createRetryBudget();
 * takeRetry(budget, 0, limits); // true, from the slack
 * takeRetry(budget, 0, limits); // false
 * ```
 */
export function takeRetry(
  budget: RetryBudget,
  now: number,
  limits: RetryLimits,
): boolean {
  if (!hasRetry(budget, now, limits)) return false;
  sliceAt(budget, now, limits.windowMs).retries += 1;
  return true;
}
