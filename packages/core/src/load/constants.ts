/**
 * Constants of shared load reports and of the choice by expected time.
 *
 * @module
 */

/** Time for which load reports are collected before they are passed on, ms; sweeps make it 100 to 200 ms. */
export const LOAD_BATCH_MS = 100;
/** Load reports in one message at most; the newest ones are sent. */
export const MAX_LOADS_PER_MESSAGE = 64;
/** Runners of which a report may wait to be passed on; the oldest report is dropped beyond it. */
export const MAX_PENDING_LOADS = 256;
/** Reports older than this are neither passed on nor used, ms. */
export const MAX_REPORT_AGE_MS = 2_000;
/**
 * A report that another daemon passes on replaces a known one only if it is newer by more than this, ms. Its age leaves
 * out the time on the way, so a report that comes back to its sender seems a little newer than it is.
 */
export const REPORT_RESOLUTION_MS = 5;

/** Time to another availability zone and back, ms. */
export const OTHER_ZONE_ROUND_TRIP_MS = 2.8;
/** Time by which a runner of another zone must be better beyond the network's, since bytes between zones are paid for, ms. */
export const OTHER_ZONE_COST_MS = 30;
/** Time by which a runner outside the subset must be better, since it takes a new connection, ms. */
export const NEW_CONNECTION_COST_MS = 8;

/** Time within which a kept connection to a runner should be used again, ms; runners close it soon after. */
export const CONNECTION_REUSE_MS = 4_000;
/** Mean gaps between requests that fit into that time; one random gap in twenty is longer than three times the mean. */
export const GAPS_PER_REUSE = 3;
/** Smallest subset of a model's groups, so that there is a choice of two. */
export const MIN_SUBSET_SIZE = 2;
/** Time constant of the request rate that sizes the subset, ms. */
export const REQUEST_RATE_WINDOW_MS = 5_000;

/**
 * Share of the slots from which on a time to the first event may include a wait for a slot, since the estimate is off by
 * a few requests. Such times say nothing of a runner's speed.
 */
export const LOADED_SHARE = 0.8;
/** Weight of an own observation in the slowness of a runner. */
export const OWN_SLOWNESS_WEIGHT = 0.3;
/** Weight of an observation of another daemon, whose own network may be at fault. */
export const HEARD_SLOWNESS_WEIGHT = 0.15;
/** Smallest and largest ratio that one observation may contribute. */
export const MIN_SLOWNESS_SAMPLE = 0.25;
export const MAX_SLOWNESS_SAMPLE = 4;
/** Time constant with which the slowness of a runner returns to 1 without new observations, ms. */
export const SLOWNESS_FADE_MS = 10_000;
/** Time added to the observed and the expected time, so that a few milliseconds of scheduling don't count as slowness, ms. */
export const SLOWNESS_OFFSET_MS = 20;
/** Weight of the newest ratio in a service's mean, against which its runners are compared. */
export const BASELINE_WEIGHT = 0.05;
/** Slowness from which on a runner is left out of the subset. */
export const SLOW_FACTOR = 1.6;
/** Slowness below which a slow runner is no longer left out. */
export const RECOVERED_FACTOR = 1.3;

/** Daemons that must have evidence against a runner before it is ejected, since one's own network may be at fault. */
export const MIN_EVIDENCE_SOURCES = 2;
/** Time for which evidence against a runner counts, ms; most daemons use a group again within it. */
export const EVIDENCE_MS = 4_000;
/** Pieces of evidence in one message at most; the newest are sent. */
export const MAX_EVIDENCE_PER_MESSAGE = 32;
/** Daemons whose evidence against one runner is kept; the oldest is dropped beyond it. */
export const MAX_EVIDENCE_SOURCES = 8;
/** Largest share of the groups of a model that may be ejected at once. */
export const MAX_EJECTED_SHARE = 0.25;
/** Time for which a runner is ejected, ms; twice as long from the second time on. */
export const EJECTION_MS = 3_000;
/** Part by which daemons spread the ends of their ejections, so that their trial requests do not come together. */
export const EJECTION_JITTER = 0.5;
/** Time for which a trial request goes alone, where it has no first event, ms. */
export const TRIAL_MS = 1_000;
