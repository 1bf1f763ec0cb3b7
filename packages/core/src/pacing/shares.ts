/**
 * Divides the rate that a runner takes among the daemons.
 *
 * @module
 */
import type { ColdStart, Gateway, GatewaySettings } from "../gateway/types.ts";
import {
  COLD_BOUND_SHARE,
  COLD_RATE_SHARE,
  MAX_LIMIT_SHARE_FACTOR,
  MAX_OWNERS,
  MIN_LIMIT_SHARE_FACTOR,
} from "./constants.ts";

/**
 * Returns this daemon's share of a limit: its share of the work, kept near an equal one so that the shares of all
 * daemons add up to little more than the limit whatever they estimate.
 */
export function limitShareOf({ readSharing, workShare }: Gateway): number {
  const { self, daemons } = readSharing;
  if (self === undefined || daemons === undefined) return workShare.value;
  const equalShare = 1 / (daemons.size + 1);
  return Math.min(
    MAX_LIMIT_SHARE_FACTOR * equalShare,
    Math.max(MIN_LIMIT_SHARE_FACTOR * equalShare, workShare.value),
  );
}

/** Returns the requests that a cold runner may get in any span of one second, from all daemons together. */
export function coldBoundOf(
  { requestsPerSecond }: ColdStart,
  { coldOverage, coldSlack }: GatewaySettings,
): number {
  return requestsPerSecond * coldOverage + coldSlack;
}

/** Returns the requests a second that the owners of a cold runner send together. */
export function coldRateOf(
  coldStart: ColdStart,
  settings: GatewaySettings,
): number {
  return Math.min(
    COLD_RATE_SHARE * coldStart.requestsPerSecond,
    COLD_BOUND_SHARE * coldBoundOf(coldStart, settings),
  );
}

/** Owners of a cold runner, and what each of them sends. */
export interface ColdShares {
  /** 0 where the bound leaves not even one request a second. */
  owners: number;
  /** Requests of one owner in any span of one second. */
  requestsPerOwner: number;
}

/**
 * Divides the rate of a cold runner among its owners, in whole requests: a span of one second holds only whole ones.
 *
 * @example
 * ```ts
 * coldSharesOf({ durationMs: 3_000, requestsPerSecond: 26 }, settings); // 10 owners, 2 requests each
 * ```
 */
export function coldSharesOf(
  coldStart: ColdStart,
  settings: GatewaySettings,
): ColdShares {
  const requests = Math.floor(coldRateOf(coldStart, settings));
  const owners = Math.min(MAX_OWNERS, requests);
  if (owners === 0) return { owners, requestsPerOwner: 0 };
  return { owners, requestsPerOwner: Math.floor(requests / owners) };
}
