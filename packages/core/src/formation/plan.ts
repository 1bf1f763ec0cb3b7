/**
 * Plans replica groups: opens those that are whole, repairs those that lost a member, forms new ones and orders weight
 * loads on runners without a group.
 *
 * Runners disappear and appear all day. Only runners whose host already holds a model's weights join its groups, so
 * that a group is whole within seconds. A group keeps its name while its members change, so that the survivors rejoin
 * at once; where no substitute is available the group is dissolved, and its survivors join other groups.
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
import { viewDomains } from "./domains.ts";
import { ensureTerm } from "./leadership.ts";
import { byNeed, type DomainView, nextStaging } from "./weight_layout.ts";
import { takeLoad } from "./weight_loads.ts";
import { orderRunner, pruneOrders } from "./orders.ts";
import { probeMembers } from "./health_checks.ts";
import { joinAll, type Round, takeStaged, tendGroup } from "./repair.ts";
import { groupName, type GroupView, seemsDead, viewGroups } from "./group_view.ts";

/** Plans all groups if this daemon is the leader. */
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

/**
 * Returns whether runners are still appearing at the first start: choosing weights for the first few would mix models
 * within their domains.
 */
function isSettling({ gateway, now }: State): boolean {
  const { settings, formation, runnersGrewAt } = gateway!;
  if (!settings.firstStart) return false;
  if (now - formation.startedAt > MAX_SETTLING_MS) return false;
  return now - runnersGrewAt < SETTLED_MS;
}

/** Returns whether so many group members seem dead that a fault of this daemon's own network is the likelier cause. */
function isCutOff(state: State, views: GroupView[]): boolean {
  const { formation } = state.gateway!;
  const members = views.flatMap((view) => view.members)
    .filter((each) => each !== undefined);
  const dead = members.filter((each) => seemsDead(formation, each));
  return dead.length > members.length * MOST_DEAD_SHARE;
}

/**
 * Returns the demand for each model.
 *
 * Until every model has some, the configured shares are used instead, reduced for large models and, to a lesser degree,
 * for slow ones.
 */
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

/** Forms groups of all free runners that hold the weights for a whole one. */
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

/** Orders weight loads on free runners, as far as the weight store allows. */
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
