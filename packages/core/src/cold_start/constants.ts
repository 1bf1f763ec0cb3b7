/**
 * Constants of cold starts.
 *
 * @module
 */

/** Share of the usual work that a runner gets at the moment at which it turns warm. */
export const MIN_SLOW_START_FACTOR = 0.2;
