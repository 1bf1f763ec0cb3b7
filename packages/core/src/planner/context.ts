/**
 * Queries the state of one deployment for its planner, and proposes changes.
 *
 * @module
 */

import {
  CHANGE_COOLDOWN_MS,
  DEAD_REFUSED_MS,
  DEAD_SILENT_MS,
} from "./constants.ts";
import type { ModelDeployment } from "../config/types.ts";
import { appendRecord, createRecord } from "../fold/append.ts";
import type { Fence, FoldedGroup, RecordBody } from "../fold/types.ts";
import type { Lease } from "../lease/types.ts";
import {
  isGroupEvacuated,
  isZoneEvacuated,
} from "../placement/policy_zones.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Candidate } from "./placement.ts";
import type { Planner } from "./types.ts";

/** Input of one round of planning for a deployment. */
export interface PlanningContext {
  state: State;
  planner: Planner;
  lease: Lease;
  name: string;
  deployment: ModelDeployment;
  fence: Fence;
}

/** Returns whether a VM has been unreachable for long enough to be presumed dead. */
export function isDead(state: State, vm: string): boolean {
  const health = state.vmHealth.get(vm);
  if (health?.missingSince === undefined) return false;
  const thresholdMs = health.refused ? DEAD_REFUSED_MS : DEAD_SILENT_MS;
  return state.now - health.missingSince >= thresholdMs;
}

/** Returns whether a VM is known to be leaving. */
export function isLeaving(state: State, vm: string): boolean {
  return state.leaving.has(vm);
}

function isFreshlyEmpty(
  { state, planner }: PlanningContext,
  vm: string,
): boolean {
  const health = state.vmHealth.get(vm);
  return health?.missingSince === undefined &&
    health?.status?.state === "empty" &&
    health.reportedAt >= planner.termStartedAt;
}

/** Lists the VMs that may join a group: listed and empty, neither assigned nor leaving nor in an evacuated zone. */
export function listCandidates(context: PlanningContext): Candidate[] {
  const { state, planner } = context;
  const reserved = new Set(
    [...planner.pending.values()].flatMap(({ vms }) => vms),
  );
  const candidates: Candidate[] = [];
  for (const { vm, address, zone, domain, role } of state.vms.values()) {
    if (
      role !== "engine" || state.fold.vms.has(vm) || isLeaving(state, vm) ||
      reserved.has(vm)
    ) continue;
    if (isZoneEvacuated(state, zone)) continue;
    if (isFreshlyEmpty(context, vm)) {
      candidates.push({ vm, address, zone, domain });
    }
  }
  return candidates;
}

/** Lists the groups of the deployment, in the order of the log. */
export function listGroups({ state, name }: PlanningContext): FoldedGroup[] {
  return [...state.fold.groups.values()].filter(({ deployment }) =>
    deployment === name
  );
}

/** Lists the groups of the deployment that have no member in an evacuated zone; the others are left as they are. */
export function listPlannableGroups(context: PlanningContext): FoldedGroup[] {
  return listGroups(context).filter((group) =>
    !isGroupEvacuated(context.state, group)
  );
}

function listAssignedVms(body: RecordBody): string[] {
  if (body.type === "group_form") return body.members.map(({ vm }) => vm);
  return body.type === "group_swap" ? [body.add.vm] : [];
}

/** Appends a record of a change and keeps the change pending until the fold has decided on it. */
export function* proposeChange(
  { state, planner }: PlanningContext,
  body: RecordBody,
  subject: string,
): Effects {
  const record = createRecord(state, body);
  planner.pending.set(record.id, { subject, vms: listAssignedVms(body) });
  planner.changedAt.set(subject, state.now);
  yield* appendRecord(state, record);
  yield {
    kind: "log",
    event: "group_planned",
    fields: { subject, change: body.type },
  };
}

/** Deletes the pending changes that the fold has decided on. */
export function deleteDecidedChanges(
  { state, planner }: PlanningContext,
): void {
  for (const id of planner.pending.keys()) {
    if (!state.log.pending.has(id)) planner.pending.delete(id);
  }
}

/** Returns whether a change of a group or VM is pending. */
export function hasPendingChange(
  { planner }: PlanningContext,
  subject: string,
): boolean {
  return [...planner.pending.values()].some((change) =>
    change.subject === subject
  );
}

/** Returns whether a group or VM is in its cooldown after a change, or has a change pending. */
export function isCoolingDown(
  context: PlanningContext,
  subject: string,
): boolean {
  const { state, planner } = context;
  if (hasPendingChange(context, subject)) return true;
  return state.now - (planner.changedAt.get(subject) ?? -Infinity) <
    CHANGE_COOLDOWN_MS;
}
