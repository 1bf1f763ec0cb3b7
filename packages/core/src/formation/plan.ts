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
import type { Effect } from "../effect/types.ts";
import type { Effects } from "../reduce_types.ts";
import { isPathLost } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import { isRewriting } from "../store_timeline/timeline.ts";
import {
  IDLE_DEMAND,
  IDLE_MODEL_MS,
  MAX_DEAD_SHARE,
  MAX_STABILIZATION_MS,
  MIN_MODEL_SHARE,
  PLAN_INTERVAL_MS,
  STABILIZATION_MS,
} from "./constants.ts";
import { demandOf, isSettled, measureDemand } from "./demand.ts";
import { summarizeDomains } from "./domains.ts";
import {
  deriveGroups,
  groupName,
  type GroupView,
  isInEvacuatedZone,
  isPresumedDead,
} from "./group_view.ts";
import { reportCapacity } from "./capacity_report.ts";
import { checkGroupMembers } from "./health_checks.ts";
import { ensureTerm, yieldLeadership } from "./leadership.ts";
import { countExposure, lossRateOf, memberLossesOf } from "./member_losses.ts";
import { orderRunner, pruneOrders } from "./orders.ts";
import { orderJoins, reconcileGroup, takeStagedRunners } from "./repair.ts";
import type { DomainView, PlanningRound } from "./round_types.ts";
import {
  countGroups,
  type LayoutTarget,
  targetLayout,
} from "./layout_target.ts";
import { markRetired, retireGroup } from "./retire.ts";
import { freeStranded } from "./stranded.ts";
import { nextStaging, sortByNeed } from "./weight_layout.ts";
import { recordWarmMembers } from "./warm_runners.ts";
import { warmUpSpares } from "./warm_up.ts";
import { reserveWeightLoad } from "./weight_loads.ts";

/** Plans all groups if this daemon is the leader. */
export function* planGroups(state: State): Effects {
  const gateway = state.gateway!;
  const { groupPlanner } = gateway;
  yield* yieldLeadership(state);
  if (state.now - groupPlanner.lastPlannedAt < PLAN_INTERVAL_MS) return;
  groupPlanner.lastPlannedAt = state.now;
  // Groups would seem to lack members that the list leaves out.
  if (!gateway.readSharing.hasWholeList) return;
  if (!(yield* ensureTerm(state))) return;
  pruneOrders(state);
  if (yield* isListUnsettled(state)) return;
  for (const service of gateway.routing?.services.values() ?? []) {
    if (service.engine === undefined) continue;
    yield* planService(state, service, service.engine);
  }
}

/** Returns whether members of groups may seem to be free runners, since the store's list may be an older copy. */
function* isListUnsettled(
  state: State,
): Generator<Effect, boolean, void> {
  const { groupPlanner, storeTimeline } = state.gateway!;
  const wasPaused = groupPlanner.isPaused;
  groupPlanner.isPaused = isRewriting(storeTimeline, state.now);
  if (groupPlanner.isPaused && !wasPaused) {
    const { current: timeline, restoredAt } = storeTimeline;
    const restoredMs = Math.round(state.now - restoredAt);
    const fields = { timeline, restoredMs };
    yield { kind: "log", event: "planning_paused", fields };
  }
  return groupPlanner.isPaused;
}

function* planService(
  state: State,
  service: Service,
  engine: EngineProfile,
): Effects {
  // All members would seem dead, and orders would not arrive.
  if (isPathLost(state.gateway!, service.name)) return;
  const views = deriveGroups(state.gateway!, {
    service: service.name,
    models: engine.models,
    now: state.now,
  });
  yield* checkGroupMembers(state, views);
  // The members in an evacuated zone may all be dead, and nothing is planned there.
  const plannable = views.filter((view) =>
    !isInEvacuatedZone(state.gateway!, view)
  );
  if (isLikelyPartitioned(state, plannable)) return;
  const { groupPlanner } = state.gateway!;
  const { slots } = engine;
  measureDemand(groupPlanner, views, { slots, now: state.now });
  const losses = memberLossesOf(groupPlanner, service.name);
  countExposure(losses, { views: plannable, now: state.now });
  const domains = summarizeDomains(state, { service, views });
  const round: PlanningRound = {
    service: service.name,
    engine,
    views,
    domains,
    losses,
  };
  recordWarmMembers(state, round);
  const demand = resolveDemand(state, round);
  const target = targetLayout([...domains.values()], {
    models: engine.models,
    demand,
    lossRate: lossRateOf(losses),
  });
  yield* markRetired(state, round, target);
  for (const view of plannable) {
    if (groupPlanner.retiringGroups.has(view.name)) {
      yield* retireGroup(state, view);
    } else yield* reconcileGroup(state, round, view);
  }
  yield* freeStranded(state, { service: service.name, views });
  yield* reportCapacity(state, round, { demand });
  yield* formGroups(state, round, target);
  yield* warmUpSpares(state, round, target);
  if (!isStabilizing(state)) yield* orderWeightLoads(state, round);
}

/**
 * Returns whether runners are still appearing at the first start: choosing weights for the first few would mix models
 * within their domains.
 */
function isStabilizing({ gateway, now }: State): boolean {
  const { settings, groupPlanner, lastRunnerAddedAt } = gateway!;
  if (!settings.firstStart) return false;
  if (now - groupPlanner.startedAt > MAX_STABILIZATION_MS) return false;
  return now - lastRunnerAddedAt < STABILIZATION_MS;
}

/** Returns whether so many group members seem dead that a fault of this daemon's own network is the likelier cause. */
function isLikelyPartitioned(state: State, views: GroupView[]): boolean {
  const { groupPlanner } = state.gateway!;
  const members = views.flatMap((view) => view.members)
    .filter((each) => each !== undefined);
  const dead = members.filter((each) => isPresumedDead(groupPlanner, each));
  return dead.length > members.length * MAX_DEAD_SHARE;
}

/**
 * Returns the demand for each model.
 *
 * Until the demand for every model is known and has settled, the configured shares of the work are used instead, reduced
 * for large models and, to a lesser degree, for slow ones. A model
 * that has nearly no requests long after those of another have settled is idle.
 */
function resolveDemand(
  state: State,
  { service, engine: { models } }: PlanningRound,
): Map<string, number> {
  const { groupPlanner } = state.gateway!;
  const { now } = state;
  const isKnown = models.some(({ name: model }) =>
    isSettled(groupPlanner, { service, model, now, forMs: IDLE_MODEL_MS })
  );
  const isMeasured = models.every(({ name: model }) =>
    isSettled(groupPlanner, { service, model, now }) ||
    (isKnown && demandOf(groupPlanner, { service, model }) === undefined)
  );
  const measured = (model: string) =>
    demandOf(groupPlanner, { service, model }) ?? IDLE_DEMAND;
  const expected = ({ share, size, pace }: Model) =>
    Math.max(MIN_MODEL_SHARE, share / (size * Math.sqrt(pace)));
  return new Map(
    models.map((model) => [
      model.name,
      isMeasured ? measured(model.name) : expected(model),
    ]),
  );
}

/** Forms groups wherever a domain has enough free runners that hold a model's weights. */
function* formGroups(
  state: State,
  round: PlanningRound,
  target: LayoutTarget,
): Effects {
  const { groupPlanner } = state.gateway!;
  const { models } = round.engine;
  const demand = resolveDemand(state, round);
  for (
    const model of sortByNeed([...round.domains.values()], { models, demand })
  ) {
    for (const [domain, view] of round.domains) {
      const { groups } = target.get(domain)!.get(model.name)!;
      if (countGroups(view, model) >= groups) continue;
      const count = model.size;
      const members = takeStagedRunners(state, round, { domain, model, count });
      if (members === undefined) continue;
      groupPlanner.groupCount += 1;
      const name = groupName(model.name, groupPlanner.leadership.term!, {
        count: groupPlanner.groupCount,
      });
      yield* orderJoins(state, {
        service: round.service,
        name,
        model,
        members,
      });
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
function* orderWeightLoads(state: State, round: PlanningRound): Effects {
  const { engine, losses } = round;
  const { models } = engine;
  const lossRate = lossRateOf(losses);
  const domains = [...round.domains.values()];
  const demand = resolveDemand(state, round);
  while (true) {
    const staging = nextStaging(domains, { models, demand, lossRate });
    if (staging === undefined) return;
    const { runner, model } = staging;
    const { now } = state;
    if (!reserveWeightLoad(state.gateway!, engine, { model, now })) return;
    const domain = round.domains.get(runner.domain!)!;
    removeRunner(domain, runner);
    const loading = domain.loading.get(model.name) ?? 0;
    domain.loading.set(model.name, loading + 1);
    yield* orderRunner(state, runner, {
      order: { action: "stage", model: model.name },
    });
  }
}
