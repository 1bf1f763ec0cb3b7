/**
 * Constants of hedged requests.
 *
 * @module
 */

/** Window of observed times, ms; the window before counts as well. */
export const OBSERVATION_WINDOW_MS = 10_000;
/** Observed times that a percentile needs; a daemon that has just started hedges nothing until then. */
export const MIN_OBSERVATIONS = 40;
/** Hedged requests of a service that are saved up at most. */
export const MAX_SAVED_HEDGES = 2;
/** Occupied share of the slots of a kind of work above which nothing is hedged. */
export const MAX_OCCUPIED_SHARE = 0.7;
/** Share of the requests in flight that may be past the delay; above it, all runners are slow. */
export const MAX_SLOW_SHARE = 0.25;
/** Slow requests that are no sign of a general slowdown, however few are in flight. */
export const MIN_SLOW_REQUESTS = 2;
/** Retries that stay in the shared budget; retries after failures go before hedged requests. */
export const RESERVED_RETRIES = 1;
