/**
 * Tells what a daemon that reads the store itself may do for others.
 *
 * @module
 */
import type { State } from "../state/types.ts";
import { CANDIDATES_PER_ZONE, STEADY_READER_MS } from "./constants.ts";

/** Returns whether this daemon's own reads of the store succeed, so that others may follow it. */
export function isStoreReader({ gateway, phase, now }: State): boolean {
  const { readSharing: { isReading, storeConfirmedAt }, settings } = gateway!;
  return phase === "serving" && isReading &&
    now - storeConfirmedAt < settings.readTimes.upstreamAgeMs;
}

/**
 * Returns whether this daemon may become the leader of the group planner.
 *
 * The store deals the leadership anew with each change of its candidates, and each new leader has to measure the demand
 * again. So the candidates are the first daemons of each zone by rank, whether or not they read the store at the moment,
 * and those that have read it for long since all ahead of them are gone.
 */
export function isLeaderCandidate({ gateway, phase, now }: State): boolean {
  const { self, daemons, ranked, isReading, readingSince } =
    gateway!.readSharing;
  if (phase !== "serving") return false;
  if (gateway!.groupPlanner.leadership.hasYielded) return false;
  if (self === undefined) return true;
  if (daemons === undefined) return false;
  return ranked.ahead.length < CANDIDATES_PER_ZONE ||
    (isReading && now - readingSince >= STEADY_READER_MS);
}
