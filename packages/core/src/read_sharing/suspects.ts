/**
 * Shares between the daemons of an availability zone which runners could not be reached.
 *
 * Each daemon of a large fleet reaches a runner only now and then, and would find out about a dead one at the cost of
 * a request of its own. What others say only makes a daemon avoid a runner for a short time, only where it has heard
 * nothing from the runner itself, and only for a part of the runners.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import { hastenSweep } from "../gateway/sweep_schedule.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import { isPathLost } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import {
  MAX_SUSPECT_SHARE,
  SUSPECT_EVIDENCE_MS,
  SUSPECT_MS,
} from "./constants.ts";
import { publish } from "./publish.ts";
import type { FollowerMessage, ReadSharing } from "./types.ts";

/** Records a runner that this daemon failed to reach, to be passed on with the next sweep. */
export function recordSuspect({ suspects }: ReadSharing, runner: string): void {
  suspects.add(runner);
}

/** Handles runners that another daemon failed to reach. */
export function applySuspects(
  state: State,
  { runners }: EventOf<"suspects_reported">,
): Effects {
  const gateway = state.gateway!;
  const { suspectedUntil, suspects, isReading } = gateway.readSharing;
  for (const [id, until] of suspectedUntil) {
    if (until <= state.now) suspectedUntil.delete(id);
  }
  for (const id of runners) {
    if (!gateway.runners.has(id) || suspectedUntil.has(id)) continue;
    const stats = runnerStatsOf(gateway, id);
    const isKnownAlive = state.now - stats.lastSeenAt < SUSPECT_EVIDENCE_MS;
    if (isKnownAlive || isAtLimit(state)) continue;
    suspectedUntil.set(id, state.now + SUSPECT_MS);
    stats.avoidUntil = Math.max(stats.avoidUntil, state.now + SUSPECT_MS);
    stats.avoidForwardedUntil = stats.avoidUntil;
    if (isReading) suspects.add(id);
  }
  hastenSweep(state);
  return noEffects();
}

function isAtLimit({ gateway }: State): boolean {
  const { readSharing, servingCount } = gateway!;
  const limit = Math.max(1, servingCount * MAX_SUSPECT_SHARE);
  return readSharing.suspectedUntil.size >= limit;
}

/** Returns whether the path to a runner's service is lost, so that it is not known yet whose fault its failure was. */
function isPathLostTo({ gateway }: State, id: string): boolean {
  const service = gateway!.runners.get(id)?.service;
  return service !== undefined && isPathLost(gateway!, service);
}

/** Passes on the runners that could not be reached since the last sweep. */
export function* passOnSuspects(state: State): Effects {
  const { suspects } = state.gateway!.readSharing;
  const runners = [...suspects].filter((id) => !isPathLostTo(state, id));
  if (runners.length === 0) return;
  for (const id of runners) suspects.delete(id);
  yield* passOn(state, { kind: "suspects", runners });
}

/** Sends a message to the followers of this daemon, or to the daemon that it follows. */
export function* passOn(
  state: State,
  message: Extract<FollowerMessage, { kind: "suspects" | "limits" }>,
): Effects {
  const { readSharing } = state.gateway!;
  if (readSharing.isReading) return yield* publish(state, message);
  if (readSharing.upstream?.hasData !== true) return;
  yield { kind: "send_to_upstream", message };
}
