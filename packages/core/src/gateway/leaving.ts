/**
 * Keeps requests away from runners that say in their answers that they leave.
 *
 * The word of a runner's process holds until that process is gone, whatever a list of runners says later: entries in
 * the store may be older, and so may the store itself.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { publishRunners } from "../read_sharing/publish.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { MAX_LEAVING_RUNNERS } from "./constants.ts";
import { indexRunner } from "./runner_index.ts";
import type { Gateway, LeavingRunner, Runner } from "./types.ts";

/** Returns whether a process of a runner has said that it leaves. */
export function isLeaving(
  { leavingRunners }: Gateway,
  { id, startedUnixMs }: Pick<Runner, "id" | "startedUnixMs">,
): boolean {
  return leavingRunners.get(id) === startedUnixMs;
}

/** Returns the entry of a runner as it is to be used: as draining where its process has said that it leaves. */
export function withLeaving(gateway: Gateway, runner: Runner): Runner {
  return runner.state === "ready" && isLeaving(gateway, runner)
    ? { ...runner, state: "draining" }
    : runner;
}

/** Records that a runner's process leaves, as it said in an answer, to be passed on with the next sweep. */
export function* hearLeaving(state: State, leaving: LeavingRunner): Effects {
  const gateway = state.gateway!;
  if (isLeaving(gateway, leaving)) return;
  gateway.readSharing.newlyLeaving.push(leaving);
  yield* recordLeaving(state, leaving, { source: "answer" });
}

/** Records that a runner's process leaves. */
export function* recordLeaving(
  state: State,
  { id, startedUnixMs }: LeavingRunner,
  { source }: { source: "answer" | "daemon" },
): Effects {
  const gateway = state.gateway!;
  const { leavingRunners, runners } = gateway;
  leavingRunners.delete(id);
  leavingRunners.set(id, startedUnixMs);
  if (leavingRunners.size > MAX_LEAVING_RUNNERS) {
    leavingRunners.delete(leavingRunners.keys().next().value!);
  }
  const known = runners.get(id);
  yield {
    kind: "log",
    event: "runner_leaves",
    fields: { runner: id, born: startedUnixMs, source, state: known?.state },
  };
  if (known?.startedUnixMs !== startedUnixMs) return;
  const entry = withLeaving(gateway, known);
  if (entry === known) return;
  indexRunner(gateway, entry);
  if (!gateway.readSharing.isReading) return;
  yield* publishRunners(state, { read: [entry], removedIds: [] });
}

/** Handles runners that have told other daemons that they leave. */
export function* applyLeaving(
  state: State,
  { leaving }: EventOf<"limits_reported">,
): Effects {
  const gateway = state.gateway!;
  const { isReading, newlyLeaving } = gateway.readSharing;
  for (const each of leaving ?? []) {
    if (isLeaving(gateway, each)) continue;
    if (isReading) newlyLeaving.push(each);
    yield* recordLeaving(state, each, { source: "daemon" });
  }
}
