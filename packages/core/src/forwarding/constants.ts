/**
 * Constants of forwarding.
 *
 * @module
 */

/** Daemons that one request may be forwarded to, one after the other. */
export const MAX_FORWARDERS = 5;
/** Connections that fail in a row after which a request is forwarded without further tries of its own. */
export const FORWARD_AFTER_FAILED_CONNECTS = 2;
/** Requests in flight that count as much as another availability zone, since traffic between zones costs. */
export const OTHER_ZONE_PENALTY = 4;
/** Time for which a daemon that turned a request down gets no more requests, ms, by its reason. */
export const AVOID_AFTER_REFUSAL_MS = {
  unauthorized: 1_000,
  not_ready: 500,
  stopping: 10_000,
  not_allowed: 0,
  runner_gone: 0,
  quarantined: 0,
  path_lost: 500,
  busy: 200,
} as const;
/** Time for which a daemon that failed as a forwarder gets no more requests, ms; doubles with each consecutive failure. */
export const AVOID_AFTER_FAILURE_MS = 500;
/** Longest time for which a failing forwarder gets no more requests, ms. */
export const MAX_AVOID_MS = 4_000;
/** Requests of other daemons that one daemon sends at once, for each core of its VM. */
export const MAX_FORWARDED_PER_CORE = 96;
/** Mean lateness of sweeps above which a daemon has no processor time for the requests of others, ms. */
export const MAX_LATENESS_MS = 40;
/** Weight of the newest sweep in the mean lateness. */
export const LATENESS_WEIGHT = 0.2;
/** A daemon without a path to any service, or a daemon that forwards, for this long leaves the balancer's rotation, ms. */
export const STRANDED_AFTER_MS = 1_000;
