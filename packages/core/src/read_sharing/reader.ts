/**
 * Tells what a daemon that reads the store itself may do for others.
 *
 * @module
 */
import type { State } from "../state/types.ts";
import { STORE_FAILING_MS } from "./constants.ts";

/** Returns whether this daemon's own reads of the store succeed, so that others may follow it. */
export function isStoreReader({ gateway, phase, now }: State): boolean {
  const { isReading, storeConfirmedAt } = gateway!.readSharing;
  return phase === "serving" && isReading &&
    now - storeConfirmedAt < STORE_FAILING_MS;
}

/** Returns whether this daemon may become the leader of the group planner: it reads the whole list of runners itself. */
export function isLeaderCandidate({ gateway, phase }: State): boolean {
  const { isReading, hasWholeList, upstream } = gateway!.readSharing;
  return phase === "serving" && isReading && hasWholeList &&
    upstream === undefined;
}
