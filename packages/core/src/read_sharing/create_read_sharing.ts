/**
 * Creates the state of read sharing.
 *
 * @module
 */
import { LOG_START } from "../store_timeline/position.ts";
import type { DaemonEntry, ReadSharing } from "./types.ts";

/** Creates the state of read sharing; without an own entry the daemon always reads the store. */
export function createReadSharing(
  self: DaemonEntry | undefined,
  { now, patience }: { now: number; patience: number },
): ReadSharing {
  return {
    self,
    daemons: undefined,
    fleetSize: undefined,
    fleetSizeAt: now,
    ranked: { ahead: [], others: [] },
    startedAt: now,
    isReading: self === undefined,
    readingSince: now,
    storeConfirmedAt: -Infinity,
    hasWholeList: false,
    runnersPosition: LOG_START,
    upstream: undefined,
    avoided: new Map(),
    patience,
    followers: new Map(),
    suspects: new Set(),
    limitChanges: new Map(),
    newlyLeaving: [],
    suspectedUntil: new Map(),
    published: new Map(),
  };
}
