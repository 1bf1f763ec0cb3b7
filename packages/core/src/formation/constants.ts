/**
 * Constants of the group planner, in one place.
 *
 * @module
 */

/** The planner looks at all groups this often, ms. */
export const PLAN_MS = 100;
/** A grant of the planner's duty counts for this long from the request for it, ms. */
export const DUTY_LIFE_MS = 1_000;
/** A new holder waits this long, so that a former one has heard of its loss, ms. */
export const TAKEOVER_WAIT_MS = 400;
/** An order without an answer or a visible effect is given up after this time, ms. */
export const ORDER_LIFE_MS = 1_500;
/** Members of groups are checked this often at least, ms. */
export const PROBE_MS = 300;
/** The interval between two checks of a member grows by this much for each member, ms: one planner sends 500 checks a second at most. */
export const PROBE_MS_PER_MEMBER = 2;
/** Failed checks in a row after which a runner counts as dead. */
export const DEAD_MISSES = 2;
/** Above this share of dead runners the planner itself is probably cut off. */
export const MOST_DEAD_SHARE = 0.5;
/** Groups of this size or more have a spare kept for them. */
export const SPARE_FROM_SIZE = 3;
/** Orders of one term; a fencing number is the term times this, plus the order's count. */
export const ORDERS_PER_TERM = 2 ** 20;
/** Loads take this share of their time before the first request. */
export const FIRST_LOAD_SHARE = 0.1;
/** Time after the first start in which no request has come yet, ms. */
export const FIRST_START_MS = 11_000;
/** At the first start, weights are laid out once no runner has come for this long, ms. */
export const SETTLED_MS = 400;
/** At the first start, weights are laid out at the latest after this time, ms. */
export const MAX_SETTLING_MS = 4_000;
/** Loads that may begin at one moment beside the allowed rate. */
export const LOAD_BURST = 4;
/** Weight of one look in the mean work of a model; the mean follows within about five seconds. */
export const DEMAND_WEIGHT = 0.02;
/** Least share of the runners that a model counts with. */
export const LEAST_SHARE = 0.01;
/** Loads that run side by side before the first request, as a multiple of those that run at full speed. */
export const FIRST_LOADS_FACTOR = 2;
