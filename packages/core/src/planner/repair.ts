/**
 * Repairs, drains and dissolves replica groups.
 *
 * @module
 */

import { CHANGE_COOLDOWN_MS, MAX_DRAIN_MS } from "./constants.ts";
import type { FoldedGroup, Member } from "../fold/types.ts";
import type { Effects } from "../reduce_types.ts";
import {
  isCoolingDown,
  isDead,
  isLeaving,
  listCandidates,
  listPlannableGroups,
  type PlanningContext,
  proposeChange,
} from "./context.ts";
import { placeSpare } from "./placement.ts";

/** Repairs, drains or dissolves groups that lost a member, have a leaving member or are draining. */
export function* repairGroups(context: PlanningContext): Effects {
  const { state } = context;
  for (const group of listPlannableGroups(context)) {
    if (isCoolingDown(context, group.name)) continue;
    const dead = group.members.filter(({ vm }) => isDead(state, vm));
    const leaving = group.members.filter(({ vm }) =>
      isLeaving(state, vm) && !dead.some((lost) => lost.vm === vm)
    );
    if (dead.length > 0) {
      yield* replaceMember(context, group, dead[0] as Member, dead.length);
    } else if (leaving.length > 0) {
      yield* retireMember(context, group, leaving[0] as Member);
    } else if (group.phase === "draining" && isIdle(context, group)) {
      yield* dissolveGroup(context, group);
    }
  }
}

// Survivors keep their weights, so a swap loads weights on one member only; a new group elsewhere loads them on all.
function* replaceMember(
  context: PlanningContext,
  group: FoldedGroup,
  lost: Member,
  lostCount: number,
): Effects {
  const candidates = listCandidates(context);
  const inDomain =
    candidates.filter(({ domain }) => domain === lost.domain).length;
  const spare = placeSpare(candidates, lost.domain);
  const canSwap = inDomain >= lostCount && lostCount < group.members.length;
  if (spare !== undefined && canSwap) {
    const body = {
      type: "group_swap" as const,
      group: group.name,
      remove: lost.vm,
      add: spare,
      fence: context.fence,
    };
    return yield* proposeChange(context, body, group.name);
  }
  yield* dissolveGroup(context, group);
}

function* retireMember(
  context: PlanningContext,
  group: FoldedGroup,
  leaving: Member,
): Effects {
  if (group.phase === "formed") {
    return yield* proposeChange(context, {
      type: "group_drain",
      group: group.name,
      fence: context.fence,
    }, group.name);
  }
  if (isIdle(context, group)) yield* replaceMember(context, group, leaving, 1);
}

function isIdle(
  { state, planner }: PlanningContext,
  group: FoldedGroup,
): boolean {
  const changedAt = planner.changedAt.get(group.name) ?? planner.termStartedAt;
  if (state.now - changedAt > MAX_DRAIN_MS) return true;
  const head = group.members[0];
  const health = head && state.vmHealth.get(head.vm);
  const load = health?.status?.load;
  const isFresh =
    (health?.reportedAt ?? -Infinity) > changedAt + CHANGE_COOLDOWN_MS;
  return isFresh && load !== undefined && load.running + load.queued === 0;
}

function* dissolveGroup(context: PlanningContext, group: FoldedGroup): Effects {
  yield* proposeChange(context, {
    type: "group_dissolve",
    group: group.name,
    fence: context.fence,
  }, group.name);
}
