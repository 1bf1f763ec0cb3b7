/**
 * Opens groups that are whole, repairs those that lost a member, and dissolves those that cannot be repaired.
 *
 * @module
 */
import type { Model, Runner } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  type GroupView,
  isPresumedDead,
  reportsMembership,
} from "./group_view.ts";
import { countLosses } from "./member_losses.ts";
import { nextFence } from "./leadership.ts";
import { orderRunner } from "./orders.ts";
import type { PlanningRound } from "./round_types.ts";
import { isWarm } from "./warm_runners.ts";

/** Returns whether a member is alive and has joined the group, or was ordered to join. */
function isHealthy(state: State, view: GroupView, member: Runner): boolean {
  const { groupPlanner } = state.gateway!;
  if (member.state !== "ready" || isPresumedDead(groupPlanner, member)) {
    return false;
  }
  if (!isListed(state, member)) return isServingWith(view, member);
  if (reportsMembership(view, member)) {
    return member.membership?.state !== "broken";
  }
  return groupPlanner.pendingOrders.get(member.id)?.order.action === "join";
}

function isListed({ gateway }: State, { id }: Runner): boolean {
  return gateway!.runners.has(id);
}

/** Returns whether a group that is open goes on with a member that is no longer listed. */
function isServingWith(view: GroupView, member: Runner): boolean {
  const isOpen = view.members[0]?.membership?.state === "open";
  return isOpen && reportsMembership(view, member);
}

/** Reconciles one group: opens, repairs, drains or dissolves it. */
export function* reconcileGroup(
  state: State,
  round: PlanningRound,
  view: GroupView,
): Effects {
  const { groupPlanner } = state.gateway!;
  const isWhole = view.members.every((each) =>
    each !== undefined && isHealthy(state, view, each)
  );
  if (!isWhole && needsDrain(state, view)) {
    return yield* drainGroup(state, view);
  }
  if (!isWhole) return yield* repairGroup(state, round, view);
  const head = view.members[0]!;
  const isReady = view.members.every((each) =>
    reportsMembership(view, each!) && each!.membership?.state === "ready"
  );
  if (!isReady || groupPlanner.pendingOrders.has(head.id)) return;
  const { name: group, epoch } = view;
  yield* orderRunner(state, head, { order: { action: "open", group, epoch } });
}

/** Returns whether all members are alive but some of them are leaving, while the head still has or accepts requests. */
function needsDrain(state: State, view: GroupView): boolean {
  const { groupPlanner } = state.gateway!;
  const status = view.members[0]?.membership?.state;
  if (status !== "open" && status !== "closing") return false;
  return view.members.every((each) =>
    each !== undefined && reportsMembership(view, each) &&
    !isPresumedDead(groupPlanner, each)
  );
}

/** Lets a group finish its requests before a leaving member is replaced. */
function* drainGroup(state: State, view: GroupView): Effects {
  const head = view.members[0]!;
  if (head.membership?.state !== "open") return;
  if (state.gateway!.groupPlanner.pendingOrders.has(head.id)) return;
  const { name: group, epoch } = view;
  yield* orderRunner(state, head, {
    order: { action: "close", group, epoch, mode: "finish" },
  });
}

/** Takes `count` free runners that hold a model's weights out of a domain; undefined where it has fewer. */
export function takeStagedRunners(
  { gateway }: State,
  { domains }: PlanningRound,
  { domain, model, count }: { domain: string; model: Model; count: number },
): Runner[] | undefined {
  const staged = domains.get(domain)?.staged.get(model.name) ?? [];
  if (staged.length < count) return undefined;
  const coldness = (runner: Runner) =>
    isWarm(gateway!.groupPlanner, runner, model.name) ? 0 : 1;
  staged.sort((left, right) => coldness(left) - coldness(right));
  return staged.splice(0, count);
}

function* repairGroup(
  state: State,
  round: PlanningRound,
  view: GroupView,
): Effects {
  const { model, domain } = view;
  const survivors = view.members.filter((each): each is Runner =>
    each !== undefined && isSurvivor(state, view, each)
  );
  const count = model.size - survivors.length;
  countLosses(round.losses, view, count);
  const substitutes = survivors.length === 0
    ? undefined
    : takeStagedRunners(state, round, { domain, model, count });
  if (substitutes === undefined) {
    return yield* dissolveGroup(state, { view, survivors });
  }
  const members = [...survivors, ...substitutes];
  const { service, name } = view;
  yield* orderJoins(state, { service, name, model, members });
}

/** Returns whether a member is alive and belongs to no other group. */
function isSurvivor(state: State, view: GroupView, member: Runner): boolean {
  const { membership } = member;
  if (member.state !== "ready" || !isListed(state, member)) return false;
  if (isPresumedDead(state.gateway!.groupPlanner, member)) return false;
  return membership === undefined || membership.group === view.name;
}

/** Orders members to join a group under a new epoch. */
export function* orderJoins(
  state: State,
  { service, name, model, members }: {
    service: string;
    name: string;
    model: Model;
    members: Runner[];
  },
): Effects {
  const { groupPlanner } = state.gateway!;
  const epoch = nextFence(groupPlanner);
  const ids = members.map(({ id }) => id);
  groupPlanner.plannedGroups.set(name, {
    service,
    epoch,
    model: model.name,
    members: ids,
  });
  yield {
    kind: "log",
    event: "group_planned",
    fields: { group: name, epoch, members: ids.join(" ") },
  };
  for (const member of members) {
    yield* orderRunner(state, member, {
      order: {
        action: "join",
        group: name,
        epoch,
        model: model.name,
        members: ids,
      },
    });
  }
}

/** Dissolves a group that cannot be repaired, so that its survivors can join other groups. */
export function* dissolveGroup(
  state: State,
  { view, survivors }: { view: GroupView; survivors: Runner[] },
): Effects {
  const { groupPlanner } = state.gateway!;
  const { name: group, epoch } = view;
  if (survivors.some(({ id }) => groupPlanner.pendingOrders.has(id))) return;
  groupPlanner.plannedGroups.delete(group);
  const head = view.members[0];
  if (head !== undefined && survivors.includes(head)) {
    const status = head.membership?.state;
    if (status === "closing") return;
    // A head that stays open would accept requests that cannot progress.
    if (status === "open") {
      return yield* orderRunner(state, head, {
        order: { action: "close", group, epoch, mode: "interrupt" },
      });
    }
  }
  for (const member of survivors) {
    if (!reportsMembership(view, member)) continue;
    yield* orderRunner(state, member, {
      order: { action: "leave", group, epoch },
    });
  }
}
