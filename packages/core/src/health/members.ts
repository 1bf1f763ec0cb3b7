/**
 * Confirms targets by what their VMs report; one missing or contradicting member stops new work at once.
 *
 * @module
 */
import { rememberAttempts } from "../capacity/load_estimate.ts";
import { learnStep } from "../capacity/batch_model.ts";
import { refreshTarget } from "../capacity/targets.ts";
import type { EventOf, LoadReport, MemberStatus } from "../event/types.ts";
import type { Member } from "../fold/types.ts";
import type { Effects } from "../reduce_types.ts";
import { dispatchPool } from "../request/dispatch.ts";
import { failOver } from "../request/progress.ts";
import { setFree } from "../routing/free_list.ts";
import type { MemberState, Pool, State, Target } from "../state/types.ts";
import { schedule } from "../util/timer_queue.ts";
import { judgeReport, settleEjection } from "./ejection.ts";
import { advanceTarget, type TargetStep } from "./machine.ts";

/** Step reports of this many standard factors off are left out of the shared model. */
const LEARN_MAX_FACTOR = 1.5;

/** What names a target and what it consists of. */
export interface TargetShape {
  name: string;
  deployment: string;
  epoch: number | undefined;
  members: readonly Member[];
}

function createMemberState(member: Member): MemberState {
  return { member, confirmedAt: -Infinity, refused: false };
}

/** Creates a target or takes over a change of its members. */
export function* upsertTarget(state: State, shape: TargetShape): Effects {
  const existing = state.targets.get(shape.name);
  if (existing === undefined) return yield* createTarget(state, shape);
  if (existing.epoch === shape.epoch && sameMembers(existing, shape.members)) {
    return;
  }
  const known = new Map(
    existing.members.map((member) => [member.member.vm, member]),
  );
  for (const { member } of existing.members) {
    state.byAddress.delete(member.address);
  }
  existing.members = shape.members.map((member) =>
    known.get(member.vm) ?? createMemberState(member)
  );
  existing.epoch = shape.epoch;
  indexMembers(state, existing);
  yield* moveTarget(state, existing, "doubt");
  yield* failOverAttempts(state, existing);
}

function sameMembers(target: Target, members: readonly Member[]): boolean {
  return target.members.length === members.length &&
    target.members.every(({ member }, index) =>
      member.vm === members[index]?.vm
    );
}

function indexMembers(state: State, target: Target): void {
  for (const { member } of target.members) {
    state.byAddress.set(member.address, target.name);
  }
}

function* createTarget(
  state: State,
  { name, deployment, epoch, members }: TargetShape,
): Effects {
  const target: Target = {
    name,
    deployment,
    phase: "pending",
    epoch,
    members: members.map(createMemberState),
    limit: 0,
    allowance: 0,
    attempts: new Set(),
    overdrawn: 0,
    memory: { average: 0, at: state.now },
    report: undefined,
    reportedAt: -Infinity,
    factor: 1,
    failures: 0,
    ejections: 0,
    probes: 0,
    ejectedUntil: 0,
    cacheSequence: 0,
    removing: false,
  };
  state.targets.set(name, target);
  state.pools.get(deployment)?.targets.add(name);
  indexMembers(state, target);
  scheduleCheck(state, target);
  yield* drainIfLeaving(state, target);
}

function scheduleCheck(state: State, target: Target): void {
  const freshMs = state.config?.config.policy.memberFreshMs ?? 1_500;
  schedule(state.timers, state.now + freshMs / 2, {
    timer: { kind: "member_check", target: target.name },
  });
}

const STEP_EVENTS = {
  confirm: "target_serving",
  doubt: "target_suspect",
  drain: "target_draining",
  remove: "target_gone",
  renew: "target_pending",
} as const;

/** Moves a target through its life and keeps every account of it in step. */
export function* moveTarget(
  state: State,
  target: Target,
  step: keyof typeof STEP_EVENTS,
): Effects {
  const wasEjected = target.phase === "ejected" || target.phase === "probing";
  if (wasEjected && step === "confirm") return;
  const before = { ...target };
  if (!advanceTarget(target, step satisfies TargetStep)) return;
  if (wasEjected) settleEjection(state, before);
  refreshTarget(state, target);
  yield {
    kind: "log",
    event: STEP_EVENTS[step],
    fields: { target: target.name, deployment: target.deployment },
  };
}

/** Drains a target and forgets it once nothing of this entry runs there. */
export function* removeTarget(state: State, target: Target): Effects {
  yield* moveTarget(state, target, "drain");
  target.removing = true;
  yield* forgetIfIdle(state, target);
}

function* forgetIfIdle(state: State, target: Target): Effects {
  if (!target.removing || target.attempts.size > 0) return;
  yield* moveTarget(state, target, "remove");
  state.targets.delete(target.name);
  const pool = state.pools.get(target.deployment);
  pool?.targets.delete(target.name);
  if (pool !== undefined) {
    setFree(pool.free, target.name, { free: false });
    setFree(pool.serving, target.name, { free: false });
  }
  for (const { member } of target.members) {
    if (state.byAddress.get(member.address) === target.name) {
      state.byAddress.delete(member.address);
    }
  }
}

function memberAt(
  state: State,
  address: string,
): { target: Target; member: MemberState } | undefined {
  const target = state.targets.get(state.byAddress.get(address) ?? "");
  const member = target?.members.find((candidate) =>
    candidate.member.address === address
  );
  return target && member && { target, member };
}

function noteEvidence(state: State, status: MemberStatus): void {
  state.evidence.set(status.vm, {
    status,
    reportedAt: state.now,
    missingSince: undefined,
    refused: false,
  });
}

function noteMissing(
  state: State,
  { address, vm, cause }: EventOf<"member_unreachable">,
): void {
  const name = vm ?? memberAt(state, address)?.member.member.vm;
  if (name === undefined) return;
  const known = state.evidence.get(name);
  state.evidence.set(name, {
    status: known?.status,
    reportedAt: known?.reportedAt ?? -Infinity,
    missingSince: known?.missingSince ?? state.now,
    refused: cause === "refused",
  });
}

/** Handles what an engine or service says of itself: direct evidence, which beats lists. */
export function* reportMember(
  state: State,
  { address, status }: EventOf<"member_reported">,
): Effects {
  noteEvidence(state, status);
  const leaving = state.leaving.get(status.vm);
  if (leaving !== undefined && leaving !== status.incarnation) {
    yield* forgetLeaving(state, status.vm);
  }
  if (status.state === "leaving") {
    yield* markLeaving(state, status.vm, status.incarnation);
  }
  const found = memberAt(state, address);
  if (found === undefined) return;
  const { target, member } = found;
  member.status = status;
  member.confirmedAt = state.now;
  member.incarnation = status.incarnation;
  member.refused = false;
  yield* judgeTarget(state, target);
  const isLeader = target.members[0] === member;
  if (isLeader && status.load !== undefined) {
    yield* takeReport(state, target, status);
  }
}

function learnReport(state: State, pool: Pool, load: LoadReport): void {
  const targetMs = state.config?.config.policy.betweenTokensMs ?? Infinity;
  const { running, stepMs, maxBatch } = load;
  learnStep(pool.model, { running, stepMs, targetMs, maxBatch });
}

function* takeReport(
  state: State,
  target: Target,
  { load }: MemberStatus,
): Effects {
  const pool = state.pools.get(target.deployment);
  if (pool === undefined || load === undefined) return;
  rememberAttempts(target, state.now);
  target.report = load;
  target.reportedAt = state.now;
  if (pool.deployment.kind === "model") {
    yield* judgeReport(state, pool, target);
    const isNormal = target.phase === "serving" &&
      target.factor < LEARN_MAX_FACTOR;
    if (isNormal && load.running > 0) learnReport(state, pool, load);
  }
  refreshTarget(state, target);
  yield* dispatchPool(state, pool);
}

/** Handles a VM that did not answer; a refused connection is evidence of death, silence only of doubt. */
export function* missMember(
  state: State,
  event: EventOf<"member_unreachable">,
): Effects {
  const { address, cause } = event;
  noteMissing(state, event);
  const found = memberAt(state, address);
  if (found === undefined) return;
  if (cause === "refused") found.member.refused = true;
  yield* judgeTarget(state, found.target);
  if (cause === "refused" && found.target.epoch !== undefined) {
    yield* failOverAttempts(state, found.target);
  }
}

// A group that lost a member cannot go on, so its streams resume elsewhere without waiting for a stall.
function* failOverAttempts(state: State, target: Target): Effects {
  for (const id of [...target.attempts]) {
    const request = state.requests.get(id);
    if (request !== undefined) {
      yield* failOver(state, request, { outcome: "reset_after_send" });
    }
  }
  yield* forgetIfIdle(state, target);
}

function isConfirmed(
  state: State,
  target: Target,
  { member, status, confirmedAt, refused }: MemberState,
): boolean {
  const freshMs = state.config?.config.policy.memberFreshMs ?? 0;
  if (status === undefined || refused || state.now - confirmedAt > freshMs) {
    return false;
  }
  if (status.vm !== member.vm || status.state !== "ready") return false;
  return target.epoch === undefined ||
    (status.group === target.name && status.epoch === target.epoch);
}

/** Decides anew whether a target may take work. */
export function* judgeTarget(state: State, target: Target): Effects {
  const confirmed = target.members.every((member) =>
    isConfirmed(state, target, member)
  );
  const pool = state.pools.get(target.deployment);
  if (!confirmed) return yield* moveTarget(state, target, "doubt");
  if (target.phase === "serving") return;
  yield* moveTarget(state, target, "confirm");
  if (pool !== undefined) yield* dispatchPool(state, pool);
}

/** Checks that a target's members are still fresh, and forgets it once it may go. */
export function* checkMembers(
  state: State,
  { target: name }: { target: string },
): Effects {
  const target = state.targets.get(name);
  if (target === undefined) return;
  yield* judgeTarget(state, target);
  yield* forgetIfIdle(state, target);
  scheduleCheck(state, target);
}

/** Notes that one incarnation of a VM is leaving: it gets no new work, whoever said so. */
export function* markLeaving(
  state: State,
  vm: string,
  incarnation: string,
): Effects {
  const known = state.evidence.get(vm)?.status?.incarnation;
  if (known !== undefined && known !== incarnation) return;
  if (state.leaving.get(vm) === incarnation) return;
  state.leaving.set(vm, incarnation);
  yield { kind: "log", event: "vm_leaving", fields: { vm, incarnation } };
  for (const target of targetsOf(state, vm)) {
    yield* moveTarget(state, target, "drain");
  }
}

function* forgetLeaving(state: State, vm: string): Effects {
  state.leaving.delete(vm);
  for (const target of targetsOf(state, vm)) {
    const stillLeaving = target.members.some(({ member }) =>
      state.leaving.has(member.vm)
    );
    if (!target.removing && !stillLeaving) {
      yield* moveTarget(state, target, "renew");
    }
  }
}

function targetsOf(state: State, vm: string): Target[] {
  const address = state.vms.get(vm)?.address;
  const byList = address === undefined
    ? undefined
    : state.targets.get(state.byAddress.get(address) ?? "");
  if (byList !== undefined) return [byList];
  return [...state.targets.values()].filter(({ members }) =>
    members.some(({ member }) => member.vm === vm)
  );
}

function* drainIfLeaving(state: State, target: Target): Effects {
  const leaving = target.members.some(({ member }) =>
    state.leaving.has(member.vm)
  );
  if (leaving) yield* moveTarget(state, target, "drain");
}

/** Handles the platform's list of VMs, which lags. */
export function* listVms(
  state: State,
  { vms }: EventOf<"vms_listed">,
): Effects {
  const listed = new Set(vms.map(({ vm }) => vm));
  for (const vm of state.vms.keys()) if (!listed.has(vm)) state.vms.delete(vm);
  for (const listing of vms) {
    state.vms.set(listing.vm, listing);
    if (listing.state === "leaving") {
      yield* markLeaving(state, listing.vm, listing.incarnation);
    }
  }
}

/** Drains one VM on an operator's word. */
export function* drainVm(state: State, vm: string): Effects {
  const incarnation = state.evidence.get(vm)?.status?.incarnation ??
    state.vms.get(vm)?.incarnation ?? "operator";
  yield* markLeaving(state, vm, incarnation);
}
