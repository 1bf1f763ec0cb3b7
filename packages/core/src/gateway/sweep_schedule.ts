/**
 * Schedules the sweeps of a gateway: often while requests wait for a slot, rarely while there is nothing to do, since
 * each wake-up of a large fleet's daemons costs processor time.
 *
 * @module
 */
import { sourceDueAt } from "../read_sharing/data_age.ts";
import type { State } from "../state/types.ts";
import { schedule } from "../util/timer_queue.ts";
import {
  BUSY_SWEEP_INTERVAL_MS,
  IDLE_SWEEP_INTERVAL_MS,
  SWEEP_INTERVAL_MS,
} from "./constants.ts";

/** Returns the time until the next sweep, ms: the shorter, the sooner something may be due. */
function sweepIntervalOf({ gateway }: State): number {
  const { requests, waitingRequests, readSharing, routing, settings } =
    gateway!;
  if (routing === undefined || readSharing.suspects.size > 0) {
    return SWEEP_INTERVAL_MS;
  }
  for (const waiting of waitingRequests.values()) {
    if (waiting.size > 0) return SWEEP_INTERVAL_MS;
  }
  if (settings.hedging !== undefined && requests.size > 0) {
    return SWEEP_INTERVAL_MS;
  }
  // A daemon that reads the store may plan the groups.
  return requests.size > 0 || readSharing.isReading
    ? BUSY_SWEEP_INTERVAL_MS
    : IDLE_SWEEP_INTERVAL_MS;
}

/** Schedules the next sweep. */
export function scheduleSweep(state: State): void {
  const at = Math.min(
    state.now + sweepIntervalOf(state),
    sourceDueAt(state),
  );
  state.gateway!.nextSweepAt = at;
  schedule(state.timers, at, { timer: { kind: "gateway_sweep" } });
}

/** Schedules the next sweep again where it would come too late for what has just begun. */
export function hastenSweep(state: State): void {
  const at = state.now + sweepIntervalOf(state);
  if (at < state.gateway!.nextSweepAt) scheduleSweep(state);
}
