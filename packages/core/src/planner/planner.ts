/**
 * Plans the replica groups of each deployment: forms, repairs, drains and dissolves them by records in the log.
 *
 * One daemon plans a deployment at a time, under a lease. The records only state the desired groups; engines get orders
 * that carry the lease's fencing number and are repeated until the engines' reports match the log.
 *
 * @module
 */
import { MAX_ORDER_DELAY_MS } from "./constants.ts";
import type { ModelDeployment } from "../config/types.ts";
import type { Effect } from "../effect/types.ts";
import type { FoldedGroup } from "../fold/types.ts";
import { isCutOff } from "../health/own_path.ts";
import { holdsLease, maintainLease, watchLease } from "../lease/lease.ts";
import type { Lease } from "../lease/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  deleteDecidedChanges,
  hasPendingChange,
  listCandidates,
  listPlannableGroups,
  type PlanningContext,
  proposeChange,
} from "./context.ts";
import { freeQuarantined, orderWeightLoads } from "./orders.ts";
import { countPlacement, placeGroup } from "./placement.ts";
import { repairGroups } from "./repair.ts";
import type { Planner } from "./types.ts";

function createPlanner(deployment: string): Planner {
  return {
    deployment,
    grant: undefined,
    termStartedAt: 0,
    changedAt: new Map(),
    orderedAt: new Map(),
    pending: new Map(),
    nextGroup: 1,
  };
}

function plannerOf(state: State, deployment: string): Planner {
  const existing = state.planners.get(deployment);
  if (existing !== undefined) return existing;
  const planner = createPlanner(deployment);
  state.planners.set(deployment, planner);
  return planner;
}

/** Returns the name of the lease under which a deployment is planned. */
export function plannerLeaseName(deployment: string): string {
  return `planner/${deployment}`;
}

/** Maintains the lease of every model deployment and plans the deployments whose lease this daemon holds. */
export function* planDeployments(state: State): Effects {
  // A planner that reaches no engines would take them for dead; another daemon may reach them.
  const isCut = isCutOff(state);
  for (const pool of state.pools.values()) {
    if (pool.deployment.kind !== "model") continue;
    const lease = watchLease(state, plannerLeaseName(pool.name));
    yield* maintainLease(state, lease, {
      wanted: state.ready && state.phase === "serving" && !isCut,
    });
    if (isCut) continue;
    yield* planDeployment(state, lease, {
      name: pool.name,
      deployment: pool.deployment,
    });
  }
}

function* planDeployment(
  state: State,
  lease: Lease,
  { name, deployment }: { name: string; deployment: ModelDeployment },
): Effects {
  const planner = plannerOf(state, name);
  if (lease.grant === undefined || !holdsLease(state, lease)) {
    planner.grant = undefined;
    return;
  }
  if (planner.grant !== lease.grant) beginTerm(state, planner, lease.grant);
  const startDelayMs = deployment.fencing === "ignored"
    ? MAX_ORDER_DELAY_MS
    : 0;
  if (
    !state.log.reachable || state.now < planner.termStartedAt + startDelayMs
  ) return;
  const fence = { lease: lease.name, grant: lease.grant };
  const context: PlanningContext = {
    state,
    planner,
    lease,
    name,
    deployment,
    fence,
  };
  deleteDecidedChanges(context);
  yield* freeQuarantined(context);
  yield* repairGroups(context);
  yield* reconcileReplicas(context);
  yield* orderWeightLoads(context);
}

function beginTerm(state: State, planner: Planner, grant: number): void {
  planner.grant = grant;
  planner.termStartedAt = state.now;
  planner.pending.clear();
  planner.orderedAt.clear();
}

function* reconcileReplicas(context: PlanningContext): Effects {
  const groups = listPlannableGroups(context).filter(({ phase }) =>
    phase === "formed"
  );
  const { replicas } = context.deployment;
  if (hasPendingChange(context, context.name)) return;
  if (groups.length > replicas) yield* drainSurplus(context, groups);
  for (let missing = replicas - groups.length; missing > 0; missing--) {
    if (!(yield* formGroup(context, groups))) return;
  }
}

function* drainSurplus(
  context: PlanningContext,
  groups: readonly FoldedGroup[],
): Effects {
  const newest = groups.toSorted((left, right) => right.epoch - left.epoch)[0];
  if (newest === undefined) return;
  yield* proposeChange(context, {
    type: "group_drain",
    group: newest.name,
    fence: context.fence,
  }, newest.name);
}

function* formGroup(
  context: PlanningContext,
  groups: FoldedGroup[],
): Generator<Effect, boolean, void> {
  const { state, planner, deployment, name } = context;
  const used = new Set(
    groups.flatMap(({ members }) => members.map(({ vm }) => vm)),
  );
  const candidates = listCandidates(context).filter(({ vm }) => !used.has(vm));
  const members = placeGroup(candidates, deployment.vmsPerReplica, {
    placement: countPlacement(groups),
  });
  if (members === undefined) return false;
  const group = `${name}-${planner.grant}-${planner.nextGroup}`;
  planner.nextGroup += 1;
  groups.push({
    name: group,
    deployment: name,
    epoch: 0,
    phase: "formed",
    members,
  });
  yield* proposeChange(context, {
    type: "group_form",
    group,
    deployment: name,
    members,
    fence: context.fence,
  }, name);
  planner.changedAt.set(name, state.now);
  return true;
}
