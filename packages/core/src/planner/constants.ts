/**
 * Times and limits of planning.
 *
 * @module
 */

/** A VM that refuses connections is presumed dead after this long. */
export const DEAD_REFUSED_MS = 1_000;
/** A VM that does not respond may be paused; it is presumed dead after this long. */
export const DEAD_SILENT_MS = 4_000;
/** Maximum time from when an order is sent until it takes effect. */
export const MAX_ORDER_DELAY_MS = 5_000;
/** An order is repeated after this long if the engine does not report the wanted state. */
export const ORDER_REPEAT_MS = 3_000;
/** Maximum number of engines that load weights at once, so that the weight store's rate goes to few groups first. */
export const MAX_CONCURRENT_LOADS = 16;
/** A VM that disappeared leaves quarantine after it has been unreachable for this long. */
export const QUARANTINE_MS = 60_000;
/** Cooldown between two changes of the same group or VM. */
export const CHANGE_COOLDOWN_MS = 2_000;
/** A draining group is dissolved or repaired after this long even if requests still run. */
export const MAX_DRAIN_MS = 120_000;
