/**
 * Constants of the paths to services.
 *
 * @module
 */

/** Runners that fail in a row, with no connection to another one between, before the path to their service is lost. */
export const LOST_AFTER_RUNNERS = 2;
/** The same where the path to another service is already lost. */
export const LOST_AFTER_RUNNERS_WHILE_LOST = 1;
