/**
 * Constants of the quarantine.
 *
 * @module
 */

/** Consecutive crashes, each of a request sent after the crash before it was known, after which a part is quarantined. */
export const QUARANTINE_AFTER_CRASHES = 3;
/** A part of a request that was served within this time is not blamed for a crash, ms. */
export const SERVED_RECENTLY_MS = 10_000;
/** A response that has been arriving for this long shows that its prompt crashes nothing, ms. */
export const SOUND_AFTER_MS = 500;
/** Time within which a cut connection must prove to be a crash of its runner, ms. */
export const CONFIRM_WITHIN_MS = 5_000;
/** Time after which a quarantined part is tried for the first time, ms; grows by {@link TRIAL_BACKOFF} with each trial. */
export const FIRST_TRIAL_MS = 10_000;
export const TRIAL_BACKOFF = 6;
export const MAX_TRIAL_INTERVAL_MS = 600_000;
/** A part that nothing has concerned for this long is forgotten, ms; trials renew it while requests with it come. */
export const PART_TTL_MS = 2 * MAX_TRIAL_INTERVAL_MS;
/** Largest number of parts under suspicion. */
export const MAX_PARTS = 1_000;
/** Largest number of parts of which the last served request is remembered. */
export const MAX_SERVED_PARTS = 4_000;
/** Largest number of cut connections that wait for a proof. */
export const MAX_PENDING_CRASHES = 1_000;
/** Interval at which parts are checked for whether they are to be forgotten, ms. */
export const PRUNE_INTERVAL_MS = 1_000;
