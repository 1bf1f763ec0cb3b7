/**
 * Types of hedged requests: a second copy of a slow request that may be repeated, of which the first answer wins.
 *
 * @module
 */
import type { TDigest } from "tdigest";

/** Limits of the deployment on hedged requests. */
export interface HedgingLimits {
  /** Hedged requests as a share of the requests to a service, 0 to 1. */
  maxShare: number;
  /** Percentile of the observed times to the first response after which a request is hedged, 0 to 100. */
  percentile: number;
}

/** Times to the first response that this daemon has observed of one kind of work. */
export interface ObservedTimes {
  /** Times since {@link ObservedTimes.beganAt}. */
  current: TDigest;
  /** Times of the window before; undefined in the first window. */
  previous: TDigest | undefined;
  /** Start of the current window, ms. */
  beganAt: number;
}

/** Hedged requests to one service that this daemon may still send. */
export interface HedgeAllowance {
  left: number;
}

/** State of hedged requests. */
export interface HedgingState {
  /** Observed times by kind of work and route. */
  observed: Map<string, ObservedTimes>;
  /** Allowances by service. */
  allowances: Map<string, HedgeAllowance>;
}

/** Why a slow request is not hedged. */
export type HedgeDenial =
  /** The first response has begun, or was forwarded, or its prompt is under suspicion. */
  | "not_eligible"
  /** The route allows no further attempt, or the time left is too short. */
  | "no_attempt_left"
  /** Requests of the same kind wait, or the runners have little idle capacity. */
  | "no_idle_capacity"
  /** Most requests of the same kind are slow at the moment, so that another runner is no faster. */
  | "all_slow"
  | "share_used"
  | "retry_budget"
  | "no_runner";
