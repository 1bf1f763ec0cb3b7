/**
 * Constants of the paths to services.
 *
 * @module
 */

/** Runners that fail in a row, with no connection to another one between, before the path to their service is lost. */
export const LOST_AFTER_RUNNERS = 2;
/** The same where the path to another service is already lost. */
export const LOST_AFTER_RUNNERS_WHILE_LOST = 1;
/** Interval at which a lost path is probed, ms. */
export const PROBE_INTERVAL_MS = 400;
/** Runners that are probed at once. */
export const PROBED_RUNNERS = 3;
/** Time for which a failed connection counts, ms. */
export const EVIDENCE_MS = 2_000;
/** A path that is regained sooner was not lost: the runners had failed, ms. */
export const MIN_LOST_MS = 200;
