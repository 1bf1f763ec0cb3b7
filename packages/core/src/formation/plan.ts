/**
 * Plans replica groups: opens those that are whole, repairs those that lost a member, forms new ones and has weights
 * loaded on runners without a group.
 *
 * Answers the load of runners that vanish and come all day: only runners whose host already holds a model's weights
 * join its groups, so that a group is whole within seconds. A group keeps its name while its members change, so that the
 * survivors rejoin at once; where no substitute is at hand it is taken apart, and its survivors serve in others.
 *
 * @module
 */
import type {
  EngineProfile,
  Model,
  Runner,
  Service,
} from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  LEAST_SHARE,
  MAX_SETTLING_MS,
  MOST_DEAD_SHARE,
  PLAN_MS,
  SETTLED_MS,
} from "./constants.ts";
import { demandOf, measureDemand } from "./demand.ts";
import { ensureTerm, nextFence } from "./duty.ts";
import { byNeed, type DomainView, nextStaging } from "./layout.ts";
import { takeLoad } from "./loads.ts";
import { orderRunner, pruneOrders } from "./orders.ts";
import { probeMembers } from "./probes.ts";
import {
  groupName,
  type GroupView,
  reportsPlace,
  seemsDead,
  viewGroups,
} from "./view.ts";

/** What one round of planning for a service works on. */
interface Round {
  engine: EngineProfile;
  views: GroupView[];
  domains: Map<string, DomainView>;
}

/** Plans all groups, where this daemon holds the duty. */
export function* planGroups(state: State): Effects {
  const gateway = state.gateway!;
  const { formation } = gateway;
  if (state.now - formation.plannedAt < PLAN_MS) return;
  formation.plannedAt = state.now;
  if (!(yield* ensureTerm(state))) return;
  pruneOrders(state);
  for (const service of gateway.routing?.services.values() ?? []) {
    if (service.engine === undefined) continue;
    yield* planService(state, service, service.engine);
  }
}

function* planService(
  state: State,
  service: Service,
  engine: EngineProfile,
): Effects {
  const views = viewGroups(state.gateway!, {
    service: service.name,
    models: engine.models,
  });
  yield* probeMembers(state, views);
  if (isCutOff(state, views)) return;
  measureDemand(state.gateway!.formation, views);
  const domains = viewDomains(state, { service, views });
  const round: Round = { engine, views, domains };
  for (const view of views) yield* tendGroup(state, round, view);
  yield* formGroups(state, round);
  if (!isSettling(state)) yield* loadWeights(state, round);
}

/** True while runners are still being listed at the first start: a layout of a few would mix models in their domains. */
function isSettling({ gateway, now }: State): boolean {
  const { settings, formation, runnersGrewAt } = gateway!;
  if (!settings.firstStart) return false;
  if (now - formation.startedAt > MAX_SETTLING_MS) return false;
  return now - runnersGrewAt < SETTLED_MS;
}

/** True where so many runners seem dead that this daemon's own links are the likelier cause. */
function isCutOff(state: State, views: GroupView[]): boolean {
  const { formation } = state.gateway!;
  const members = views.flatMap((view) => view.members)
    .filter((each) => each !== undefined);
  const dead = members.filter((each) => seemsDead(formation, each));
  return dead.length > members.length * MOST_DEAD_SHARE;
}

function createDomainView(domain: string): DomainView {
  return {
    domain,
    unstaged: [],
    staged: new Map(),
    loading: new Map(),
    groups: new Map(),
  };
}

function viewDomains(
  state: State,
  { service, views }: { service: Service; views: GroupView[] },
): Map<string, DomainView> {
  const { runners, formation } = state.gateway!;
  const domains = new Map<string, DomainView>();
  const viewOf = (domain: string) => {
    const view = domains.get(domain) ?? createDomainView(domain);
    domains.set(domain, view);
    return view;
  };
  const increase = (counts: Map<string, number>, model: string) =>
    counts.set(model, (counts.get(model) ?? 0) + 1);
  for (const { domain, model } of views) {
    increase(viewOf(domain).groups, model.name);
  }
  const planned = new Set(
    views.flatMap(({ members }) => members.map((each) => each?.id)),
  );
  for (const runner of runners.values()) {
    if (runner.service !== service.name || runner.state !== "ready") continue;
    if (runner.domain === undefined || runner.membership !== undefined) {
      continue;
    }
    if (planned.has(runner.id) || seemsDead(formation, runner)) continue;
    const view = viewOf(runner.domain);
    const order = formation.openOrders.get(runner.id)?.order;
    if (order?.action === "stage") {
      increase(view.loading, order.model);
      continue;
    }
    if (order !== undefined) continue;
    const [model] = runner.staged;
    if (model === undefined) {
      view.unstaged.push(runner);
      continue;
    }
    const staged = view.staged.get(model) ?? [];
    staged.push(runner);
    view.staged.set(model, staged);
  }
  return domains;
}

/** True where a member lives and has its place, or is about to take it. */
function isSound(state: State, view: GroupView, member: Runner): boolean {
  const { formation } = state.gateway!;
  if (member.state !== "ready" || seemsDead(formation, member)) return false;
  if (reportsPlace(view, member)) return member.membership?.state !== "broken";
  return formation.openOrders.get(member.id)?.order.action === "join";
}

function* tendGroup(state: State, round: Round, view: GroupView): Effects {
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

/** True where all members live but some of them leave, and the head still has or takes work. */
function isEmptying(state: State, view: GroupView): boolean {
  const { formation } = state.gateway!;
  const status = view.members[0]?.membership?.state;
  if (status !== "open" && status !== "closing") return false;
  return view.members.every((each) =>
    each !== undefined && reportsPlace(view, each) &&
    !seemsDead(formation, each)
  );
}

/** Lets a group end its work before a leaving member is replaced. */
function* emptyGroup(state: State, view: GroupView): Effects {
  const head = view.members[0]!;
  if (head.membership?.state !== "open") return;
  if (state.gateway!.formation.openOrders.has(head.id)) return;
  const { name: group, epoch } = view;
  yield* orderRunner(state, head, {
    order: { action: "close", group, epoch, mode: "finish" },
  });
}

/** Takes `count` free runners that hold a model's weights, or none. */
function takeStaged(
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

/** True where a member lives and belongs to no other group. */
function isUsable(state: State, view: GroupView, member: Runner): boolean {
  const { membership } = member;
  if (member.state !== "ready") return false;
  if (seemsDead(state.gateway!.formation, member)) return false;
  return membership === undefined || membership.group === view.name;
}

function* joinAll(
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

/** Takes a group apart that cannot be repaired, so that its survivors can serve elsewhere. */
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
    // An open head would go on taking work that stands still.
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

/** Work of each model; before every model has some, the share that the configuration expects, less for large and, in part, for slow models. */
function weigh(state: State, { models }: EngineProfile): Map<string, number> {
  const { formation } = state.gateway!;
  const measured = models.map(({ name }) => demandOf(formation, name));
  const isMeasured = measured.every((each) => each !== undefined);
  const expected = ({ share, size, pace }: Model) =>
    Math.max(LEAST_SHARE, share / (size * Math.sqrt(pace)));
  return new Map(
    models.map((model, index) => [
      model.name,
      isMeasured ? measured[index]! : expected(model),
    ]),
  );
}

/** Forms every group that free runners can form at once. */
function* formGroups(state: State, round: Round): Effects {
  const { formation } = state.gateway!;
  const { models } = round.engine;
  const weights = weigh(state, round.engine);
  for (
    const model of byNeed([...round.domains.values()], { models, weights })
  ) {
    for (const domain of round.domains.keys()) {
      const count = model.size;
      const members = takeStaged(round, domain, { model, count });
      if (members === undefined) continue;
      formation.groupsMade += 1;
      const name = groupName(model.name, formation.duty.term!, {
        count: formation.groupsMade,
      });
      yield* joinAll(state, { name, model, members });
    }
  }
}

function removeRunner(domain: DomainView, runner: Runner): void {
  domain.unstaged = domain.unstaged.filter((each) => each !== runner);
  for (const [model, staged] of domain.staged) {
    domain.staged.set(model, staged.filter((each) => each !== runner));
  }
}

/** Has weights loaded on free runners, as far as the weight store allows. */
function* loadWeights(state: State, round: Round): Effects {
  const { engine } = round;
  const { models } = engine;
  const domains = [...round.domains.values()];
  const weights = weigh(state, engine);
  while (true) {
    const staging = nextStaging(domains, { models, weights });
    if (staging === undefined) return;
    const { runner, model } = staging;
    const { now } = state;
    if (!takeLoad(state.gateway!, engine, { model, now })) return;
    const domain = round.domains.get(runner.domain!)!;
    removeRunner(domain, runner);
    const loading = domain.loading.get(model.name) ?? 0;
    domain.loading.set(model.name, loading + 1);
    yield* orderRunner(state, runner, {
      order: { action: "stage", model: model.name },
    });
  }
}
