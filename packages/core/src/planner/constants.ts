/**
 * Times and limits of planning.
 *
 * @module
 */

/** A VM that refuses connections is taken for dead after this long. */
export const DEAD_REFUSED_MS = 1_000;
/** A silent VM may be paused; it is taken for dead after this long. */
export const DEAD_SILENT_MS = 4_000;
/** Longest life of an order, from leaving the daemon to taking effect. */
export const ORDER_LIFE_MS = 5_000;
/** Orders are repeated after this long without the engine reporting the wanted state. */
export const ORDER_REPEAT_MS = 3_000;
/** Engines that load at once, so that the weight store's rate goes to few groups first. */
export const MAX_LOADING = 16;
/** A VM that vanished is free again after this long without a sign of life. */
export const QUARANTINE_MS = 60_000;
/** Pause between two changes of the same group. */
export const CHANGE_PAUSE_MS = 2_000;
/** A drained group is given up after this long even if work still runs. */
export const DRAIN_MAX_MS = 120_000;
