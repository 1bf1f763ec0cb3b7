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
/** Time for which a daemon that did not forward a request gets no more requests, ms, by the cause. */
export const AVOID_FORWARDER_MS = {
  unauthorized: 1_000,
  not_ready: 500,
  stopping: 10_000,
  not_allowed: 0,
  runner_gone: 0,
  quarantined: 0,
  path_lost: 500,
  busy: 200,
  /** The runner may be down; a forwarder that has lost its path says so. */
  runner_unreached: 0,
  /** Doubles with each consecutive failure. */
  failed: 500,
} as const;
/** Longest time for which a failing forwarder gets no more requests, ms. */
export const MAX_AVOID_MS = 4_000;
/** Forwarders that cannot connect to a runner before the runner is blamed; one alone may have lost its own path. */
export const BLAME_AFTER_FORWARDERS = 2;
/** Requests of other daemons that one daemon sends at once, for each core of its VM. */
export const MAX_FORWARDED_PER_CORE = 96;
/** Mean lateness of sweeps above which a daemon has no processor time for the requests of others, ms. */
export const MAX_LATENESS_MS = 40;
/** Weight of the newest sweep in the mean lateness. */
export const LATENESS_WEIGHT = 0.2;
/** A daemon without a path to any service, or a daemon that forwards, for this long leaves the balancer's rotation, ms. */
export const STRANDED_AFTER_MS = 1_000;
