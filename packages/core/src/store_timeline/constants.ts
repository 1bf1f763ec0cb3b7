/**
 * Constants of the store's timelines.
 *
 * @module
 */

/** Timeline of a store that was never restored, and of one that names none. */
export const ORIGINAL_TIMELINE = 0;
/** Time after a restoration in which the runners and operators write again what the store has lost, ms. */
export const REWRITE_MS = 2_500;
/** Time after a restoration until the store drops entries of runners that had left before it, ms. */
export const DEPARTED_MS = 5_000;
/** Largest number of runners that are remembered after they left. */
export const MAX_DEPARTED = 1_000;
/** Time for which a starting daemon waits to learn what was in force when the store's timeline began, ms. */
export const FLOOR_WAIT_MS = 2_500;
/** Time for which a starting daemon waits for the configuration that was in force then, ms. */
export const MAX_HOLD_MS = 10_000;
