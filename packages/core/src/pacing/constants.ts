/**
 * Constants of pacing.
 *
 * @module
 */

/** Daemons that own a cold runner; a daemon of a large fleet sees only a few requests a second, which fewer could not fill. */
export const MAX_OWNERS = 10;
/** Share of the rate that a cold runner takes which its owners use together. */
export const COLD_RATE_SHARE = 0.8;
/** Share of the bound that the owners of one view of the fleet use together, so that two disjoint views keep it. */
export const COLD_BOUND_SHARE = 0.5;
/** Time by which one request may be later than the next one on its way to a runner without a further one in any second, ms. */
export const SPACING_MARGIN_MS = 100;
/** Time after which each daemon in touch with the store or a peer knows a change of the fleet, ms. */
export const FLEET_LAG_MS = 3_000;
/** Time for which a daemon that is registered no more is remembered, ms. */
export const LOST_DAEMON_MEMORY_MS = 3_600_000;
/** Rate at which a runner that names a lower limit is still asked, so that the end of the limit is noticed, 1/s. */
export const MIN_REQUESTS_PER_SECOND = 0.1;
/** Smallest and largest share of a runner's limit that a daemon takes, as a multiple of an equal one. */
export const MIN_LIMIT_SHARE_FACTOR = 0.5;
export const MAX_LIMIT_SHARE_FACTOR = 1.25;
