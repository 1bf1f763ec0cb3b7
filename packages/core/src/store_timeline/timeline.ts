/**
 * Keeps what this daemon knows of the store's timeline, and of the runners that an older copy may list again.
 *
 * @module
 */
import type { Gateway } from "../gateway/types.ts";
import { DEPARTED_MS, MAX_DEPARTED, REWRITE_MS } from "./constants.ts";
import type { StoreTimeline } from "./types.ts";

/** Creates the state before the first response of the store. */
export function createStoreTimeline(): StoreTimeline {
  return {
    current: undefined,
    restoredAt: -Infinity,
    isRecheckDue: false,
    behindSince: undefined,
    floor: undefined,
    recordedTimeline: undefined,
    held: undefined,
    departed: new Map(),
  };
}

/** Returns whether the runners and operators may still be writing again what the store has lost. */
export function isRewriting(
  { restoredAt }: StoreTimeline,
  now: number,
): boolean {
  return now - restoredAt < REWRITE_MS;
}

/** Returns whether the store's configuration is too old to confirm the one in force. */
export function isBehind({ behindSince }: StoreTimeline, now: number): boolean {
  return behindSince !== undefined && now - behindSince < REWRITE_MS;
}

/** Remembers a runner that has left, since an older copy of the store may list it again. */
export function recordDeparture(
  { storeTimeline, runners }: Gateway,
  id: string,
  now: number,
): void {
  const known = runners.get(id);
  if (known === undefined) return;
  // An entry that lapsed while the store was away may come back.
  if (isRewriting(storeTimeline, now)) return;
  const { departed } = storeTimeline;
  departed.delete(id);
  departed.set(id, known.startedUnixMs);
  if (departed.size > MAX_DEPARTED) {
    departed.delete(departed.keys().next().value!);
  }
}

/** Returns whether the entry of a runner dates from before it left. */
export function hasDeparted(
  { departed, restoredAt }: StoreTimeline,
  { id, startedUnixMs }: { id: string; startedUnixMs: number },
  now: number,
): boolean {
  return departed.get(id) === startedUnixMs && now - restoredAt < DEPARTED_MS;
}
