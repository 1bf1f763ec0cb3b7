/**
 * Decides whether a request waits for a free slot: as long as its first event is likely to be of use to its caller.
 *
 * @module
 */

/** Silence after which callers give up a stream at the earliest, ms. */
const MIN_PATIENCE_MS = 2_000;
/** Silence after which callers give up a stream, in latency objectives. */
const PATIENCE_OBJECTIVES = 4;
/** Share of the time budget up to which a first event that misses the objective may still be waited for. */
const LATE_BUDGET_SHARE = 0.5;

/** Largest share of the objective that the expected time after a send takes of it. */
const MAX_SERVICE_SHARE = 0.75;

/** What a caller's request allows for. */
export interface TimeBudget {
  arrivedAt: number;
  /** Time by which the final response is due, ms. */
  expiresAt: number;
  /** Latency objective, ms. */
  objectiveMs: number;
  /** Least time from a send to the first event, ms. */
  leastServiceMs: number;
  /** Expected time from a send to the first event, or to the response where it is no stream, ms. */
  serviceMs: number;
  isStream: boolean;
}

/** Times until which a send is of use, ms. */
export interface WaitWindow {
  /** Until then the first event can be within the objective. */
  inTimeUntil: number;
  /** Until then it is late but still expected to be of use. */
  lateUntil: number;
}

/** Returns the times until which sending a request is of use. */
export function waitWindowOf(
  { arrivedAt, expiresAt, objectiveMs, leastServiceMs, serviceMs, isStream }:
    TimeBudget,
): WaitWindow {
  const patienceMs = isStream
    ? Math.max(MIN_PATIENCE_MS, objectiveMs * PATIENCE_OBJECTIVES)
    : Infinity;
  const budgetMs = (expiresAt - arrivedAt) * LATE_BUDGET_SHARE;
  const lateMs = Math.min(patienceMs, Math.max(objectiveMs, budgetMs));
  const lateUntil = Math.min(arrivedAt + lateMs, expiresAt) - serviceMs;
  // Without a bound, a mean over the objective would make every request of its route late, so that it could never mend.
  const boundMs = Math.max(leastServiceMs, objectiveMs * MAX_SERVICE_SHARE);
  const inTimeUntil = Math.min(arrivedAt + objectiveMs, expiresAt) -
    Math.min(serviceMs, boundMs);
  return { inTimeUntil, lateUntil: Math.max(inTimeUntil, lateUntil) };
}

/** Decision on a request that finds no free slot. */
export type WaitDecision = "wait_in_time" | "wait_late" | "refuse";

/** Options of {@link decideWait}, as {@link ExpectedWait} has them. */
export interface WaitOptions {
  now: number;
  /** Expected wait, ms. */
  expectedMs: number;
  /** Wait that is expected where no other daemon takes what comes free, ms. */
  soonestMs: number;
  /** Requests that go before this one. */
  ahead: number;
}

/**
 * Decides on a request whose wait for a free slot is expected to take a time.
 *
 * The next one in line waits as one in time also where only the most favorable estimate allows it: how many slots the
 * other daemons take is uncertain, and no wait would correct the estimate if all were refused at once.
 *
 * @example
 * ```ts
 * const window = { inTimeUntil: 200, lateUntil: 1_900 };
 * decideWait(window, { now: 0, expectedMs: 900, soonestMs: 300, ahead: 0 }); // "wait_late"
 * ```
 */
export function decideWait(
  { inTimeUntil, lateUntil }: WaitWindow,
  { now, expectedMs, soonestMs, ahead }: WaitOptions,
): WaitDecision {
  const startAt = now + expectedMs;
  const isNextInTime = ahead === 0 && now + soonestMs <= inTimeUntil;
  if (startAt <= inTimeUntil || isNextInTime) return "wait_in_time";
  return startAt <= lateUntil ? "wait_late" : "refuse";
}
