/**
 * Creates, changes and deletes targets, and keeps the indexes and counts of them consistent.
 *
 * @module
 */

import { refreshTarget } from "../capacity/targets.ts";
import type { Member } from "../fold/types.ts";
import type { Effects } from "../reduce_types.ts";
import { failOver } from "../request/retry.ts";
import { setIncluded } from "../routing/random_set.ts";
import type { MemberState, State, Target } from "../state/types.ts";
import { schedule } from "../util/timer_queue.ts";
import { decrementEjected } from "./ejection.ts";
import { advanceTarget, type TargetEvent } from "./machine.ts";

/** Name, deployment and members of a target. */
export interface TargetDefinition {
  name: string;
  deployment: string;
  epoch: number | undefined;
  members: readonly Member[];
}

function createMemberState(member: Member): MemberState {
  return { member, confirmedAt: -Infinity, refused: false };
}

/** Creates a target or applies a change of its members. */
export function* upsertTarget(
  state: State,
  definition: TargetDefinition,
): Effects {
  const existing = state.targets.get(definition.name);
  if (existing === undefined) return yield* createTarget(state, definition);
  if (
    existing.epoch === definition.epoch &&
    hasSameMembers(existing, definition.members)
  ) {
    return;
  }
  const known = new Map(
    existing.members.map((member) => [member.member.vm, member]),
  );
  for (const { member } of existing.members) {
    state.targetNameByAddress.delete(member.address);
  }
  existing.members = definition.members.map((member) =>
    known.get(member.vm) ?? createMemberState(member)
  );
  existing.epoch = definition.epoch;
  indexMembers(state, existing);
  yield* changeTargetPhase(state, existing, "invalidate");
  yield* failOverAttempts(state, existing);
}

function hasSameMembers(target: Target, members: readonly Member[]): boolean {
  return target.members.length === members.length &&
    target.members.every(({ member }, index) =>
      member.vm === members[index]?.vm
    );
}

function indexMembers(state: State, target: Target): void {
  for (const { member } of target.members) {
    state.targetNameByAddress.set(member.address, target.name);
  }
}

function* createTarget(
  state: State,
  { name, deployment, epoch, members }: TargetDefinition,
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
    prefilling: 0,
    report: undefined,
    reportedAt: -Infinity,
    factor: 1,
    failures: 0,
    ejections: 0,
    probes: 0,
    ejectedUntil: 0,
    backoffUntil: undefined,
    cacheSequence: 0,
    removing: false,
  };
  state.targets.set(name, target);
  state.pools.get(deployment)?.targets.add(name);
  indexMembers(state, target);
  scheduleMemberCheck(state, target);
  yield* drainIfLeaving(state, target);
}

/** Schedules the next check that the reports of a target's members are fresh. */
export function scheduleMemberCheck(state: State, target: Target): void {
  const freshMs = state.config?.config.policy.memberFreshMs ?? 1_500;
  schedule(state.timers, state.now + freshMs / 2, {
    timer: { kind: "member_check", target: target.name },
  });
}

const LOG_EVENTS = {
  confirm: "target_serving",
  invalidate: "target_suspect",
  drain: "target_draining",
  remove: "target_gone",
  restart: "target_pending",
} as const;

/** Changes the phase of a target and keeps the indexes and counts of it consistent. */
export function* changeTargetPhase(
  state: State,
  target: Target,
  event: keyof typeof LOG_EVENTS,
): Effects {
  const wasEjected = target.phase === "ejected" || target.phase === "probing";
  if (wasEjected && event === "confirm") return;
  if (!advanceTarget(target, event satisfies TargetEvent)) return;
  if (wasEjected) decrementEjected(state, target);
  refreshTarget(state, target);
  yield {
    kind: "log",
    event: LOG_EVENTS[event],
    fields: { target: target.name, deployment: target.deployment },
  };
}

/** Drains a target and deletes it once no attempt of this entry VM runs there. */
export function* removeTarget(state: State, target: Target): Effects {
  yield* changeTargetPhase(state, target, "drain");
  target.removing = true;
  yield* deleteIfIdle(state, target);
}

/** Deletes a target that is to be removed, once no attempt of this entry VM runs there. */
export function* deleteIfIdle(state: State, target: Target): Effects {
  if (!target.removing || target.attempts.size > 0) return;
  yield* changeTargetPhase(state, target, "remove");
  state.targets.delete(target.name);
  const pool = state.pools.get(target.deployment);
  pool?.targets.delete(target.name);
  if (pool !== undefined) {
    setIncluded(pool.freeTargets, target.name, { included: false });
    setIncluded(pool.servingTargets, target.name, { included: false });
  }
  for (const { member } of target.members) {
    if (state.targetNameByAddress.get(member.address) === target.name) {
      state.targetNameByAddress.delete(member.address);
    }
  }
}

/**
 * Fails over every attempt in flight at a target.
 *
 * A group that lost a member cannot continue, so its streams resume elsewhere without waiting for a stall.
 */
export function* failOverAttempts(state: State, target: Target): Effects {
  for (const id of [...target.attempts]) {
    const request = state.requests.get(id);
    if (request !== undefined) {
      yield* failOver(state, request, { outcome: "reset_after_send" });
    }
  }
  yield* deleteIfIdle(state, target);
}

function* drainIfLeaving(state: State, target: Target): Effects {
  const isLeaving = target.members.some(({ member }) =>
    state.leaving.has(member.vm)
  );
  if (isLeaving) yield* changeTargetPhase(state, target, "drain");
}
