/**
 * Derives the times of reads from the bounds of the deployment, so that whatever happens to a daemon that reads the
 * store, its followers have each change in force in time.
 *
 * A change may have been accepted right after the last confirmation of a follower's data. So the age of the data, the
 * time until the follower has changed its source, and the time of one read must stay within the bound together.
 *
 * @module
 */

/** Bounds and settings on which the times of reads depend, ms. */
export interface ReadBounds {
  /** Time within which a new configuration must be in force. */
  configApplyMs: number;
  /** Time after which a runner that leaves must get no requests. */
  drainMs: number;
  /** Longest time for which a read of the configuration waits for a change. */
  routingWaitMs: number;
  /** Longest time for which a read of the list of runners waits for a change. */
  runnersWaitMs: number;
}

/** Times of the reads of a deployment, ms. */
export interface ReadTimes {
  /** Longest time for which a read of the configuration waits for a change. */
  routingWaitMs: number;
  /** Longest time for which a read of the list of runners waits for a change, and for which changes are batched. */
  runnersWaitMs: number;
  /** Age of its data from which on a daemon is not followed, since its reads of the store fail. */
  upstreamAgeMs: number;
  /** Age of its data at which the first followers read the store themselves, whomever they follow. */
  ownReadAgeMs: number;
  /** Range over which followers spread that. */
  ownReadSpreadMs: number;
}

/** Share of a wait that counts for a confirmation, since the store's clock may run faster than the daemon's. */
export const TRUSTED_WAIT_SHARE = 0.95;
/** Time within which a read of the store is answered and its result in force, ms. */
export const READ_ALLOWANCE_MS = 300;
/** Time in which a daemon notices that a read is late and changes its source, ms. */
const SOURCE_CHANGE_MS = 650;
/** Data older than this is never kept without a read of the store, however long the bounds are, ms. */
const MAX_OWN_READ_AGE_MS = 2_700;
/** Time after a confirmation until the followers know of it, ms. */
const PASS_ON_MS = 100;
const MIN_WAIT_MS = 50;
/** Shares of the time between the usual age of data and the latest read at which daemons change their source. */
const UPSTREAM_SHARE = 0.5;
const OWN_READ_SHARE = 0.85;

/** Interval of the polls of an upstream, ms. */
export const POLL_INTERVAL_MS = 400;
/** Interval of polls while the upstream's data is late, ms. */
export const LATE_POLL_INTERVAL_MS = 100;
/** Time after a confirmation is due until a poll asks for it, ms. */
const CONFIRMATION_SLACK_MS = 30;

/** Returns the largest age of data whose reads wait for this long and are answered at once, ms. */
function usualAgeOf(waitMs: number): number {
  return waitMs * (2 - TRUSTED_WAIT_SHARE);
}

/**
 * Returns the times of the reads of a deployment.
 *
 * @example
 * ```ts
 * const times = readTimesOf({
 *   configApplyMs: 2_000,
 *   drainMs: 2_000,
 *   routingWaitMs: 1_000,
 *   runnersWaitMs: 1_500,
 * });
 * times.ownReadAgeMs + times.ownReadSpreadMs; // 1,700: a read takes up to 300 ms
 * ```
 */
export function readTimesOf(
  { configApplyMs, drainMs, ...waits }: ReadBounds,
): ReadTimes {
  const boundMs = Math.min(configApplyMs, drainMs);
  const latestMs = Math.min(MAX_OWN_READ_AGE_MS, boundMs - READ_ALLOWANCE_MS);
  const longestWaitMs = Math.max(
    MIN_WAIT_MS,
    (latestMs - SOURCE_CHANGE_MS) / (2 - TRUSTED_WAIT_SHARE),
  );
  const routingWaitMs = Math.min(waits.routingWaitMs, longestWaitMs);
  const runnersWaitMs = Math.min(waits.runnersWaitMs, longestWaitMs);
  const usualMs = usualAgeOf(Math.max(routingWaitMs, runnersWaitMs)) +
    PASS_ON_MS;
  const ageAt = (share: number) => usualMs + (latestMs - usualMs) * share;
  return {
    routingWaitMs,
    runnersWaitMs,
    upstreamAgeMs: ageAt(UPSTREAM_SHARE),
    ownReadAgeMs: ageAt(OWN_READ_SHARE),
    ownReadSpreadMs: latestMs - ageAt(OWN_READ_SHARE),
  };
}

/** What an upstream says of the age of its data, ms; undefined where it is not confirmed. */
export interface UpstreamAges {
  routingAgeMs: number | undefined;
  runnersAgeMs: number | undefined;
}

/**
 * Returns the time from the answer to a poll until the next poll, ms: soon after the upstream's next confirmation is due,
 * and often while it is late, so that a follower's data is hardly older than that of its upstream.
 *
 * @example
 * ```ts
 * pollDelayOf({ routingAgeMs: 20, runnersAgeMs: 20 }, times); // 400
 * pollDelayOf({ routingAgeMs: 1_200, runnersAgeMs: 20 }, times); // 100
 * ```
 */
export function pollDelayOf(
  { routingAgeMs = Infinity, runnersAgeMs = Infinity }: UpstreamAges,
  { routingWaitMs, runnersWaitMs }: ReadTimes,
): number {
  const untilDueMs = Math.min(
    usualAgeOf(routingWaitMs) - routingAgeMs,
    usualAgeOf(runnersWaitMs) - runnersAgeMs,
  );
  return Math.min(
    POLL_INTERVAL_MS,
    Math.max(LATE_POLL_INTERVAL_MS, untilDueMs + CONFIRMATION_SLACK_MS),
  );
}

/** Time after the wait of a read within which the store must have answered, where it was fast before, ms. */
const ANSWER_LIMIT_MS = 300;

/**
 * Returns the time after its wait within which a read must be answered, ms. A silent connection is left as soon as an
 * answer is late by what the store has usually taken; each failure doubles the time.
 *
 * @example
 * ```ts
 * answerLimitOf({ answerMs: 8, failures: 0 }); // 316
 * ```
 */
export function answerLimitOf(
  { answerMs, failures }: { answerMs: number; failures: number },
): number {
  return ANSWER_LIMIT_MS * 2 ** failures + 2 * answerMs;
}

/** An answer of the store within this time costs a read nothing of its wait, ms. */
const USUAL_ANSWER_MS = 50;

/**
 * Returns for how long the next read of a topic may wait, ms. Slow answers, and the age that the data has when the read is
 * sent, shorten the wait, so that the data grows no older than usual until the next confirmation: a read that a change
 * has ended confirms only what was so when it was sent.
 *
 * @example
 * ```ts
 * nextWaitOf(1_000, { answerMs: 250, ageMs: 50 }); // 600
 * nextWaitOf(1_000, { answerMs: 8, ageMs: 700 }); // 400
 * ```
 */
export function nextWaitOf(
  waitMs: number,
  { answerMs, ageMs }: { answerMs: number; ageMs: number },
): number {
  const lateMs = Math.max(0, answerMs - USUAL_ANSWER_MS);
  const oldestMs = usualAgeOf(waitMs) + USUAL_ANSWER_MS;
  // Both this answer and the one before it arrive late.
  const leftMs = Math.min(waitMs - 2 * lateMs, oldestMs - ageMs);
  return Math.floor(Math.min(waitMs, Math.max(MIN_WAIT_MS, leftMs)));
}
