/**
 * Decides which runners and forwarders a request may use: not those of evacuated zones, and only those of the regions
 * that it is restricted to.
 *
 * @module
 */
import type { RoutedRequest, Runner } from "../gateway/types.ts";
import type { DaemonEntry } from "../read_sharing/types.ts";
import type { State } from "../state/types.ts";
import { isEvacuated } from "./evacuations.ts";
import { isInRegions } from "./regions.ts";

/** The part of a request that decides where it may be served. */
export type PlacedRequest = Pick<RoutedRequest, "allowedRegions">;

/**
 * Returns whether a request may be sent to a runner, by the runner's zone.
 *
 * It applies to every send: first attempts, retries, resumed streams, trials and requests of other daemons.
 *
 * @example
 * ```ts
 * mayUse(state, { allowedRegions: undefined }, { zone: "suva-a" }); // false while suva-a is evacuated
 * ```
 */
export function mayUse(
  { gateway }: State,
  { allowedRegions }: PlacedRequest,
  { zone }: Pick<Runner, "zone">,
): boolean {
  return !isEvacuated(gateway!, zone) &&
    isInRegions(gateway!, zone, allowedRegions);
}

/** Returns whether a request may be sent through a daemon; evacuations keep requests away from runners only. */
export function mayForwardThrough(
  { gateway }: State,
  { allowedRegions }: PlacedRequest,
  { zone }: Pick<DaemonEntry, "zone">,
): boolean {
  return isInRegions(gateway!, zone, allowedRegions);
}
