/**
 * Tells which runners are warm for a model: they join a group of it within a fraction of a second.
 *
 * A join takes several times longer on a runner that has only staged the weights than on one whose last group had the
 * same model.
 *
 * @module
 */
import type { Runner } from "../gateway/types.ts";
import type { State } from "../state/types.ts";
import type { GroupView } from "./group_view.ts";
import type { GroupPlanner } from "./types.ts";

/** Beginning of the names of groups that only warm up; no model is read from such a name. */
export const WARM_UP_PREFIX = "warm-up/";

/** Returns whether a runner is in a group that only warms it up. */
export function isWarmingUp({ membership }: Runner): boolean {
  return membership?.group.startsWith(WARM_UP_PREFIX) ?? false;
}

/** Returns whether the last group of a runner's process had this model, as far as this planner has seen. */
export function isWarm(
  { warmModels }: GroupPlanner,
  { id, startedUnixMs, model: loaded }: Runner,
  model: string,
): boolean {
  const known = warmModels.get(id);
  if (known?.startedUnixMs === startedUnixMs) return known.model === model;
  return loaded === model;
}

/** Records that a runner's group has a model. */
export function recordWarm(
  { warmModels }: GroupPlanner,
  { id, startedUnixMs }: Runner,
  model: string,
): void {
  warmModels.set(id, { model, startedUnixMs });
}

/** Records the members of groups that have joined them. */
export function recordWarmMembers(
  state: State,
  { views }: { views: readonly GroupView[] },
): void {
  const { groupPlanner, runners } = state.gateway!;
  for (const id of groupPlanner.warmModels.keys()) {
    if (!runners.has(id)) groupPlanner.warmModels.delete(id);
  }
  for (const { name, epoch, model, members } of views) {
    for (const member of members) {
      const membership = member?.membership;
      if (membership?.group !== name || membership.epoch !== epoch) continue;
      if (membership.state === "joining") continue;
      recordWarm(groupPlanner, member!, model.name);
    }
  }
}
