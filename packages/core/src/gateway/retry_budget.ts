/**
 * Limits the retries of this daemon so that those of all daemons stay within a budget that they share.
 *
 * The budget allows a ratio of the requests and some slack in every window. Each request earns a part of a retry, which
 * is kept only up to a daemon's part of the slack. In any window a daemon therefore sends no more retries than the
 * requests in it have earned and it had kept before; the sum over all daemons holds whatever each of them gets to do,
 * and however often they start again, since a process starts with nothing.
 *
 * @module
 */

/** Retries to the runners of one service that this daemon may still send. */
export interface RetryBudget {
  /** Retries left. */
  level: number;
  /** Time up to which the slack has been added, ms. */
  at: number;
}

/** Limits of a retry budget. */
export interface RetryLimits {
  /** Retries that each request earns. */
  ratio: number;
  /** Retries that can be kept. */
  capacity: number;
  /** Retries that are added without a request, each millisecond. */
  perMs: number;
}

/** Creates an empty budget. */
export function createRetryBudget(now: number): RetryBudget {
  return { level: 0, at: now };
}

function add(
  budget: RetryBudget,
  amount: number,
  { capacity }: RetryLimits,
): void {
  budget.level = Math.min(capacity, budget.level + amount);
}

function refill(budget: RetryBudget, now: number, limits: RetryLimits): void {
  add(budget, (now - budget.at) * limits.perMs, limits);
  budget.at = now;
}

/** Counts a caller's request, which earns a part of a retry. */
export function countRequest(
  budget: RetryBudget,
  now: number,
  limits: RetryLimits,
): void {
  refill(budget, now, limits);
  add(budget, limits.ratio, limits);
}

/** Returns how many retries are left. */
export function retriesLeft(
  budget: RetryBudget,
  now: number,
  limits: RetryLimits,
): number {
  refill(budget, now, limits);
  return budget.level;
}

/** Returns whether a retry is left. */
export function hasRetry(
  budget: RetryBudget,
  now: number,
  limits: RetryLimits,
): boolean {
  return retriesLeft(budget, now, limits) >= 1;
}

/**
 * Takes one retry from the budget; returns false where none is left.
 *
 * @example
 * ```ts
 * const limits = { ratio: 0.5, capacity: 1, perMs: 0 };
 * const budget = createRetryBudget(0);
 * countRequest(budget, 0, limits);
 * takeRetry(budget, 0, limits); // false
 * countRequest(budget, 0, limits);
 * takeRetry(budget, 0, limits); // true
 * ```
 */
export function takeRetry(
  budget: RetryBudget,
  now: number,
  limits: RetryLimits,
): boolean {
  if (!hasRetry(budget, now, limits)) return false;
  budget.level -= 1;
  return true;
}
