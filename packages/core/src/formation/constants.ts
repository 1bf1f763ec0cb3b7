/**
 * Constants of the group planner.
 *
 * @module
 */

/** Interval at which the planner reconciles all groups, ms. */
export const PLAN_INTERVAL_MS = 100;
/** Interval at which the capacity of each model is logged, ms. */
export const CAPACITY_REPORT_INTERVAL_MS = 1_000;
/** Leadership of the group planner lasts this long, counted from when the request for it was sent, ms. */
export const LEADERSHIP_TTL_MS = 1_000;
/** A new leader waits this long before its term, so that the former leader has learned of its loss, ms. */
export const TAKEOVER_WAIT_MS = 400;
/** A leader without a path to the engines for this long leaves the leadership to another daemon, ms. */
export const YIELD_AFTER_MS = 500;
/** An order without a response or a visible effect is given up after this time, ms. */
export const ORDER_TIMEOUT_MS = 1_500;
/** Minimum interval between two health checks of a group member, ms. */
export const HEALTH_CHECK_INTERVAL_MS = 300;
/**
 * Minimum interval between two health checks of a member, for each member of all groups, ms. It limits one planner to
 * 500 checks a second, whatever the number of members.
 */
export const HEALTH_CHECK_MS_PER_MEMBER = 2;
/** Health checks that one round of planning sends for each core of its VM; more would make the event loop late. */
export const MAX_CHECKS_PER_ROUND_AND_CORE = 40;
/** Interval between two health checks of a runner in no group that was presumed dead, ms. */
export const ABSENT_CHECK_INTERVAL_MS = 1_000;
/** Consecutive failed health checks after which a runner is presumed dead. */
export const DEAD_AFTER_FAILURES = 2;
/** Above this share of runners that are presumed dead, the planner itself is probably cut off from the network. */
export const MAX_DEAD_SHARE = 0.5;
/** A spare runner is kept for each group of at least this size. */
export const MIN_SIZE_WITH_SPARE = 3;
/** Maximum number of orders in a term; a fencing number is the term times this, plus the order's count in its term. */
export const MAX_ORDERS_PER_TERM = 2 ** 20;
/** Before the first request, a weight load takes this share of its usual time. */
export const FIRST_WEIGHT_LOAD_TIME_SHARE = 0.1;
/** Time after the first start in which no request arrives, ms. */
export const FIRST_START_MS = 11_000;
/** At the first start, weight loads begin once no new runner has appeared for this long, ms. */
export const STABILIZATION_MS = 400;
/** At the first start, weight loads begin after this time at the latest, ms. */
export const MAX_STABILIZATION_MS = 4_000;
/** Weight loads that may begin at once, in excess of the allowed rate. */
export const WEIGHT_LOAD_BURST = 4;
/** Weight of one sample in the mean demand for a model; the mean follows within about five seconds. */
export const DEMAND_WEIGHT = 0.02;
/** Time for which a model must have had requests before its mean demand counts, ms; the first ones make it uneven. */
export const DEMAND_SETTLING_MS = 5_000;
/** Time after which a model counts as idle that has nearly no requests while another one has some, ms. */
export const IDLE_MODEL_MS = 10_000;
/** Demand for an idle model, requests. */
export const IDLE_DEMAND = 0.5;
/** Share of its slots from which on a model's demand may be larger than the requests that its groups have. */
export const FULL_USE = 0.9;
/** Time for which a runner must report a group that goes on without it before it is ordered out of it, ms. */
export const STRANDED_GRACE_MS = 2_000;
/** Time for which a member that is no longer listed counts as long as it passes health checks, ms. */
export const UNLISTED_MEMBER_MS = 20_000;
/** Time constant with which member losses are forgotten, ms. */
export const LOSS_WINDOW_MS = 60_000;
/** Share of its members that a group is expected to lose at least while weights are loaded. */
export const MIN_LOSS_SHARE = 0.06;
/** Minimum share of the runners that a model is expected to need. */
export const MIN_MODEL_SHARE = 0.01;
/** Concurrent weight loads before the first request, as a multiple of those that run at full speed. */
export const FIRST_WEIGHT_LOADS_FACTOR = 2;
