/**
 * Plans the replica groups of a deployment: forms, repairs, drains and dissolves them by records in the log.
 *
 * One daemon plans a deployment at a time, under a lease. Records only state intent; engines get orders that carry
 * the lease's fencing number and are repeated until what the engines report matches the log.
 *
 * @module
 */
import type { ModelDeployment } from "../config/types.ts";
import type { Effect, EngineOrder } from "../effect/types.ts";
import { appendRecord, createRecord } from "../fold/append.ts";
import type {
  Fence,
  FoldedGroup,
  Member,
  RecordBody,
  VmAssignment,
} from "../fold/types.ts";
import {
  holdsLease,
  LEASE_MARGIN_MS,
  LEASE_MS,
  tendLease,
  watchLease,
} from "../lease/lease.ts";
import type { Lease } from "../lease/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  type Candidate,
  countPlacement,
  placeGroup,
  placeSpare,
} from "./placement.ts";
import type { Planner } from "./types.ts";

/** A VM that refuses connections is taken for dead after this long. */
const DEAD_REFUSED_MS = 1_000;
/** A silent VM may be paused; it is taken for dead after this long. */
const DEAD_SILENT_MS = 4_000;
/** Longest life of an order, from leaving the daemon to taking effect. */
export const ORDER_LIFE_MS = 5_000;
/** Orders are repeated after this long without the engine reporting the wanted state. */
const ORDER_REPEAT_MS = 3_000;
/** Engines that load at once, so that the weight store's rate goes to few groups first. */
const MAX_LOADING = 16;
/** A VM that vanished is free again after this long without a sign of life. */
const QUARANTINE_MS = 60_000;
/** Pause between two changes of the same group. */
const CHANGE_PAUSE_MS = 2_000;
/** A drained group is given up after this long even if work still runs. */
const DRAIN_MAX_MS = 120_000;

interface Scope {
  state: State;
  planner: Planner;
  lease: Lease;
  name: string;
  deployment: ModelDeployment;
  fence: Fence;
}

function createPlanner(deployment: string): Planner {
  return {
    deployment,
    grant: undefined,
    since: 0,
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

/** Name of the lease under which a deployment is planned. */
export function plannerLease(deployment: string): string {
  return `planner/${deployment}`;
}

/** Tends the lease of every model deployment and plans those held here. */
export function* planAll(state: State): Effects {
  for (const pool of state.pools.values()) {
    if (pool.deployment.kind !== "model") continue;
    const lease = watchLease(state, plannerLease(pool.name));
    yield* tendLease(state, lease, {
      wanted: state.ready && state.phase === "serving",
    });
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
  const settleMs = deployment.fencing === "ignored" ? ORDER_LIFE_MS : 0;
  if (!state.log.reachable || state.now < planner.since + settleMs) return;
  const fence = { lease: lease.name, grant: lease.grant };
  const scope: Scope = { state, planner, lease, name, deployment, fence };
  forgetSettled(scope);
  yield* freeQuarantined(scope);
  yield* repairGroups(scope);
  yield* balanceReplicas(scope);
  yield* orderLoads(scope);
}

function beginTerm(state: State, planner: Planner, grant: number): void {
  planner.grant = grant;
  planner.since = state.now;
  planner.pending.clear();
  planner.orderedAt.clear();
}

function isDead(state: State, vm: string): boolean {
  const evidence = state.evidence.get(vm);
  if (evidence?.missingSince === undefined) return false;
  const patienceMs = evidence.refused ? DEAD_REFUSED_MS : DEAD_SILENT_MS;
  return state.now - evidence.missingSince >= patienceMs;
}

function isLeaving(state: State, vm: string): boolean {
  return state.leaving.has(vm);
}

function isFreshlyEmpty({ state, planner }: Scope, vm: string): boolean {
  const evidence = state.evidence.get(vm);
  return evidence?.missingSince === undefined &&
    evidence?.status?.state === "empty" &&
    evidence.reportedAt >= planner.since;
}

function listCandidates(scope: Scope): Candidate[] {
  const { state, planner } = scope;
  const reserved = new Set(
    [...planner.pending.values()].flatMap(({ vms }) => vms),
  );
  const candidates: Candidate[] = [];
  for (const { vm, address, zone, domain, role } of state.vms.values()) {
    if (
      role !== "engine" || state.fold.vms.has(vm) || isLeaving(state, vm) ||
      reserved.has(vm)
    ) continue;
    if (isFreshlyEmpty(scope, vm)) {
      candidates.push({ vm, address, zone, domain });
    }
  }
  return candidates;
}

function ownGroups({ state, name }: Scope): FoldedGroup[] {
  return [...state.fold.groups.values()].filter(({ deployment }) =>
    deployment === name
  );
}

function vmsTakenBy(body: RecordBody): string[] {
  if (body.type === "group_form") return body.members.map(({ vm }) => vm);
  return body.type === "group_swap" ? [body.add.vm] : [];
}

function* propose(
  { state, planner }: Scope,
  body: RecordBody,
  subject: string,
): Effects {
  const record = createRecord(state, body);
  planner.pending.set(record.id, { subject, vms: vmsTakenBy(body) });
  planner.changedAt.set(subject, state.now);
  yield* appendRecord(state, record);
  yield {
    kind: "log",
    event: "group_planned",
    fields: { subject, change: body.type },
  };
}

function forgetSettled({ state, planner }: Scope): void {
  for (const id of planner.pending.keys()) {
    if (!state.log.pending.has(id)) planner.pending.delete(id);
  }
}

function hasPending({ planner }: Scope, subject: string): boolean {
  return [...planner.pending.values()].some((change) =>
    change.subject === subject
  );
}

function isSettling(scope: Scope, subject: string): boolean {
  const { state, planner } = scope;
  if (hasPending(scope, subject)) return true;
  return state.now - (planner.changedAt.get(subject) ?? -Infinity) <
    CHANGE_PAUSE_MS;
}

function* repairGroups(scope: Scope): Effects {
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

// Survivors keep their weights, so a swap loads one member; a rebuild elsewhere loads them all.
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

function* balanceReplicas(scope: Scope): Effects {
  const groups = ownGroups(scope).filter(({ phase }) => phase === "formed");
  const { replicas } = scope.deployment;
  if (hasPending(scope, scope.name)) return;
  if (groups.length > replicas) yield* drainSurplus(scope, groups);
  for (let missing = replicas - groups.length; missing > 0; missing--) {
    if (!(yield* formGroup(scope, groups))) return;
  }
}

function* drainSurplus(scope: Scope, groups: readonly FoldedGroup[]): Effects {
  const newest = groups.toSorted((left, right) => right.epoch - left.epoch)[0];
  if (newest === undefined) return;
  yield* propose(scope, {
    type: "group_drain",
    group: newest.name,
    fence: scope.fence,
  }, newest.name);
}

function* formGroup(
  scope: Scope,
  groups: FoldedGroup[],
): Generator<Effect, boolean, void> {
  const { state, planner, deployment, name } = scope;
  const used = new Set(
    groups.flatMap(({ members }) => members.map(({ vm }) => vm)),
  );
  const candidates = listCandidates(scope).filter(({ vm }) => !used.has(vm));
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
  yield* propose(scope, {
    type: "group_form",
    group,
    deployment: name,
    members,
    fence: scope.fence,
  }, name);
  planner.changedAt.set(name, state.now);
  return true;
}

// Quarantine ends when the engine itself reports that it is empty, or when the VM has been gone for long.
function* freeQuarantined(scope: Scope): Effects {
  const { state, planner } = scope;
  for (const assignment of state.fold.vms.values()) {
    if (!assignment.quarantined || assignment.deployment !== scope.name) {
      continue;
    }
    const cause = freedCause(scope, assignment);
    if (cause !== undefined) {
      if (isSettling(scope, assignment.vm)) continue;
      const { vm, epoch } = assignment;
      yield* propose(scope, {
        type: "vm_freed",
        vm,
        epoch,
        cause,
        fence: scope.fence,
      }, vm);
    } else if (isOrderDue(scope, assignment.vm)) {
      planner.orderedAt.set(assignment.vm, state.now);
      yield* order(scope, assignment, {
        action: "unload",
        epoch: assignment.epoch,
      });
    }
  }
}

function freedCause(
  { state, planner }: Scope,
  { vm, epoch }: VmAssignment,
): "unloaded" | "gone" | undefined {
  const evidence = state.evidence.get(vm);
  const isFresh = (evidence?.reportedAt ?? -Infinity) > planner.since;
  const status = evidence?.status;
  if (isFresh && status?.state === "empty" && (status.epoch ?? 0) >= epoch) {
    return "unloaded";
  }
  const missingSince = evidence?.missingSince;
  const isGone = !state.vms.has(vm) && missingSince !== undefined &&
    state.now - missingSince > QUARANTINE_MS;
  return isGone ? "gone" : undefined;
}

function isOrderDue({ state, planner }: Scope, vm: string): boolean {
  return state.now - (planner.orderedAt.get(vm) ?? -Infinity) >=
    ORDER_REPEAT_MS;
}

function* order(
  { state, lease }: Scope,
  { vm, address }: { vm: string; address: string },
  order: EngineOrder,
): Effects {
  if (lease.grant === undefined || !holdsLease(state, lease)) {
    yield {
      kind: "log",
      event: "order_dropped",
      fields: { vm, action: order.action },
    };
    return;
  }
  const validUntil = lease.confirmedSentAt + LEASE_MS - LEASE_MARGIN_MS;
  yield { kind: "order", vm, address, fence: lease.grant, validUntil, order };
}

function isLoading({ state }: Scope, vm: string): boolean {
  return state.evidence.get(vm)?.status?.state === "loading";
}

function needsLoad({ state }: Scope, group: FoldedGroup, vm: string): boolean {
  const status = state.evidence.get(vm)?.status;
  return status !== undefined &&
    (status.group !== group.name || status.epoch !== group.epoch);
}

// Groups that lack the fewest members load first: they are nearest to serving.
function* orderLoads(scope: Scope): Effects {
  const { state, planner } = scope;
  const groups = ownGroups(scope).filter(({ phase }) => phase === "formed");
  const missing = (group: FoldedGroup) =>
    group.members.filter(({ vm }) => needsLoad(scope, group, vm)).length;
  const byNeed = groups.toSorted((left, right) =>
    missing(left) - missing(right)
  );
  let loading =
    groups.flatMap(({ members }) => members).filter(({ vm }) =>
      isLoading(scope, vm)
    ).length;
  for (const group of byNeed) {
    for (const member of group.members) {
      if (
        !needsLoad(scope, group, member.vm) || !isOrderDue(scope, member.vm)
      ) continue;
      if (loading >= MAX_LOADING) return;
      loading += 1;
      planner.orderedAt.set(member.vm, state.now);
      const { name, epoch, members } = group;
      yield* order(scope, member, {
        action: "load",
        group: name,
        epoch,
        deployment: scope.name,
        members,
      });
    }
  }
}
