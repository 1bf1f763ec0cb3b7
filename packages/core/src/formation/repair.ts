/**
 * Opens groups that are whole, repairs those that lost a member, and dissolves those that cannot be repaired.
 *
 * @module
 */
import type { EngineProfile, Model, Runner } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { nextFence } from "./leadership.ts";
import type { DomainView } from "./weight_layout.ts";
import { orderRunner } from "./orders.ts";
import { type GroupView, reportsPlace, seemsDead } from "./group_view.ts";

/** Input of one round of planning for a service. */
export interface Round {
  engine: EngineProfile;
  views: GroupView[];
  domains: Map<string, DomainView>;
}

/** Returns whether a member is alive and has joined the group, or was ordered to join. */
function isSound(state: State, view: GroupView, member: Runner): boolean {
  const { formation } = state.gateway!;
  if (member.state !== "ready" || seemsDead(formation, member)) return false;
  if (reportsPlace(view, member)) return member.membership?.state !== "broken";
  return formation.openOrders.get(member.id)?.order.action === "join";
}

/** Reconciles one group: opens, repairs, drains or dissolves it. */
export function* tendGroup(
  state: State,
  round: Round,
  view: GroupView,
): Effects {
  const { formation } = state.gateway!;
  const isWhole = view.members.every((each) =>
    each !== undefined && isSound(state, view, each)
  );
  if (!isWhole && isEmptying(state, view)) {
    return yield* emptyGroup(state, view);
  }
  if (!isWhole) return yield* repairGroup(state, round, view);
  const head = view.members[0]!;
  const isReady = view.members.every((each) =>
    reportsPlace(view, each!) && each!.membership?.state === "ready"
  );
  if (!isReady || formation.openOrders.has(head.id)) return;
  const { name: group, epoch } = view;
  yield* orderRunner(state, head, { order: { action: "open", group, epoch } });
}

/** Returns whether all members are alive but some of them are leaving, while the head still has or accepts requests. */
function isEmptying(state: State, view: GroupView): boolean {
  const { formation } = state.gateway!;
  const status = view.members[0]?.membership?.state;
  if (status !== "open" && status !== "closing") return false;
  return view.members.every((each) =>
    each !== undefined && reportsPlace(view, each) &&
    !seemsDead(formation, each)
  );
}

/** Lets a group finish its requests before a leaving member is replaced. */
function* emptyGroup(state: State, view: GroupView): Effects {
  const head = view.members[0]!;
  if (head.membership?.state !== "open") return;
  if (state.gateway!.formation.openOrders.has(head.id)) return;
  const { name: group, epoch } = view;
  yield* orderRunner(state, head, {
    order: { action: "close", group, epoch, mode: "finish" },
  });
}

/** Takes `count` free runners that hold a model's weights out of a domain; undefined where it has fewer. */
export function takeStaged(
  { domains }: Round,
  domain: string,
  { model, count }: { model: Model; count: number },
): Runner[] | undefined {
  const staged = domains.get(domain)?.staged.get(model.name) ?? [];
  if (staged.length < count) return undefined;
  return staged.splice(0, count);
}

function* repairGroup(state: State, round: Round, view: GroupView): Effects {
  const { model, domain } = view;
  const survivors = view.members.filter((each): each is Runner =>
    each !== undefined && isUsable(state, view, each)
  );
  const count = model.size - survivors.length;
  const substitutes = survivors.length === 0
    ? undefined
    : takeStaged(round, domain, { model, count });
  if (substitutes === undefined) {
    return yield* dissolve(state, { view, survivors });
  }
  const members = [...survivors, ...substitutes];
  yield* joinAll(state, { name: view.name, model, members });
}

/** Returns whether a member is alive and belongs to no other group. */
function isUsable(state: State, view: GroupView, member: Runner): boolean {
  const { membership } = member;
  if (member.state !== "ready") return false;
  if (seemsDead(state.gateway!.formation, member)) return false;
  return membership === undefined || membership.group === view.name;
}

/** Orders members to join a group under a new epoch. */
export function* joinAll(
  state: State,
  { name, model, members }: { name: string; model: Model; members: Runner[] },
): Effects {
  const { formation } = state.gateway!;
  const epoch = nextFence(formation);
  const ids = members.map(({ id }) => id);
  formation.intents.set(name, { epoch, model: model.name, members: ids });
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
function* dissolve(
  state: State,
  { view, survivors }: { view: GroupView; survivors: Runner[] },
): Effects {
  const { formation } = state.gateway!;
  const { name: group, epoch } = view;
  if (survivors.some(({ id }) => formation.openOrders.has(id))) return;
  formation.intents.delete(group);
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
    if (!reportsPlace(view, member)) continue;
    yield* orderRunner(state, member, {
      order: { action: "leave", group, epoch },
    });
  }
}
