/**
 * Repairs, drains and dissolves replica groups.
 *
 * @module
 */

import { CHANGE_PAUSE_MS, DRAIN_MAX_MS } from "./constants.ts";
import type { FoldedGroup, Member } from "../fold/types.ts";
import type { Effects } from "../reduce_types.ts";
import { placeSpare } from "./placement.ts";
import {
  isDead,
  isLeaving,
  isSettling,
  listCandidates,
  ownGroups,
  propose,
  type Scope,
} from "./context.ts";

/** Repairs, drains or dissolves groups that lost a member, have a leaving member or are draining. */
export function* repairGroups(scope: Scope): Effects {
  const { state } = scope;
  for (const group of ownGroups(scope)) {
    if (isSettling(scope, group.name)) continue;
    const dead = group.members.filter(({ vm }) => isDead(state, vm));
    const leaving = group.members.filter(({ vm }) =>
      isLeaving(state, vm) && !dead.some((lost) => lost.vm === vm)
    );
    if (dead.length > 0) {
      yield* replaceMember(scope, group, dead[0] as Member, dead.length);
    } else if (leaving.length > 0) {
      yield* retireMember(scope, group, leaving[0] as Member);
    } else if (group.phase === "draining" && isIdle(scope, group)) {
      yield* dissolve(scope, group);
    }
  }
}

// Survivors keep their weights, so a swap loads weights on one member only; a new group elsewhere loads them on all.
function* replaceMember(
  scope: Scope,
  group: FoldedGroup,
  lost: Member,
  lostCount: number,
): Effects {
  const candidates = listCandidates(scope);
  const inDomain =
    candidates.filter(({ domain }) => domain === lost.domain).length;
  const spare = placeSpare(candidates, lost.domain);
  const swapPays = inDomain >= lostCount && lostCount < group.members.length;
  if (spare !== undefined && swapPays) {
    const body = {
      type: "group_swap" as const,
      group: group.name,
      remove: lost.vm,
      add: spare,
      fence: scope.fence,
    };
    return yield* propose(scope, body, group.name);
  }
  yield* dissolve(scope, group);
}

function* retireMember(
  scope: Scope,
  group: FoldedGroup,
  leaving: Member,
): Effects {
  if (group.phase === "formed") {
    return yield* propose(scope, {
      type: "group_drain",
      group: group.name,
      fence: scope.fence,
    }, group.name);
  }
  if (isIdle(scope, group)) yield* replaceMember(scope, group, leaving, 1);
}

function isIdle({ state, planner }: Scope, group: FoldedGroup): boolean {
  const changedAt = planner.changedAt.get(group.name) ?? planner.since;
  if (state.now - changedAt > DRAIN_MAX_MS) return true;
  const leader = group.members[0];
  const evidence = leader && state.evidence.get(leader.vm);
  const load = evidence?.status?.load;
  const isFresh =
    (evidence?.reportedAt ?? -Infinity) > changedAt + CHANGE_PAUSE_MS;
  return isFresh && load !== undefined && load.running + load.queued === 0;
}

function* dissolve(scope: Scope, group: FoldedGroup): Effects {
  yield* propose(scope, {
    type: "group_dissolve",
    group: group.name,
    fence: scope.fence,
  }, group.name);
}
