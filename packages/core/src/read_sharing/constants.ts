/**
 * Constants of read sharing.
 *
 * @module
 */

/** Version of the protocol between daemons that share reads. */
export const READ_SHARING_VERSION = 3;
/** An upstream that sends nothing for this long is left, ms; followers poll several times in it. */
export const UPSTREAM_SILENCE_MS = 1_000;
/** An upstream that does not send its data within this time is left, ms. */
export const UPSTREAM_START_MS = 1_000;
/** An upstream that says that it does not read the store is left after this time, in which it may begin to, ms. */
export const NOT_READING_MS = 400;
/** Range over which starting daemons spread their first reads of the store, ms. */
export const START_JITTER_MS = 600;
/** A starting daemon waits this long for its upstream before it reads the store itself, ms. */
export const START_PATIENCE_MS = 500;
/** Daemons of each availability zone that may lead the group planner. */
export const CANDIDATES_PER_ZONE = 2;
/** A daemon that has read the store for this long may lead the group planner, whatever its rank, ms. */
export const STEADY_READER_MS = 5_000;
/** Time for which the number of daemons is not taken for smaller, ms; daemons register again within it. */
export const FLEET_SIZE_MEMORY_MS = 3_600_000;
/** Time for which a failed upstream is not followed, ms; doubles with each consecutive failure. */
export const AVOID_UPSTREAM_MS = 2_000;
/** Time for which a failed upstream is not followed by a daemon that has no data yet, ms. */
export const START_AVOID_MS = 150;
/** Time for which a runner is avoided that another daemon failed to reach, ms; health checks of the planner take longer. */
export const SUSPECT_MS = 1_000;
/** A runner that this daemon heard from within this time is not suspected, ms. */
export const SUSPECT_EVIDENCE_MS = 250;
/** Largest share of the runners that are avoided for what other daemons say, whose own network may be at fault. */
export const MAX_SUSPECT_SHARE = 0.25;
/** Maximum time for which a failing upstream is not followed, ms. */
export const MAX_AVOID_UPSTREAM_MS = 30_000;
