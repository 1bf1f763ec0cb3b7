/**
 * Confirms targets by the status reports of their VMs; one missing or contradicting member stops new work at once.
 *
 * @module
 */
import { recordStep } from "../capacity/batch_model.ts";
import { updateAttemptAverage } from "../capacity/load_estimate.ts";
import { refreshTarget } from "../capacity/targets.ts";
import type { EventOf, LoadReport, MemberStatus } from "../event/types.ts";
import { confirmCrash, dismissCuts } from "../quarantine/mod.ts";
import type { Effects } from "../reduce_types.ts";
import { dispatchPool } from "../request/dispatch.ts";
import type { MemberState, Pool, State, Target } from "../state/types.ts";
import { evaluateReport } from "./ejection.ts";
import { isCutOff } from "./own_path.ts";
import { forgetBackoff } from "./backoff.ts";
import { clearLeaving, markLeaving } from "./leaving.ts";
import {
  changeTargetPhase,
  deleteIfIdle,
  failOverAttempts,
  scheduleMemberCheck,
} from "./target_lifecycle.ts";

/** Load reports of targets at this multiple of the expected step time or above are left out of the batch model. */
const MAX_LEARNED_FACTOR = 1.5;

function findMember(
  state: State,
  address: string,
): { target: Target; member: MemberState } | undefined {
  const target = state.targets.get(
    state.targetNameByAddress.get(address) ?? "",
  );
  const member = target?.members.find((candidate) =>
    candidate.member.address === address
  );
  return target && member && { target, member };
}

function recordVmHealth(state: State, status: MemberStatus): void {
  state.vmHealth.set(status.vm, {
    status,
    reportedAt: state.now,
    missingSince: undefined,
    refused: false,
  });
}

function recordUnreachable(
  state: State,
  { address, vm, cause }: EventOf<"member_unreachable">,
): void {
  const name = vm ?? findMember(state, address)?.member.member.vm;
  if (name === undefined) return;
  const known = state.vmHealth.get(name);
  state.vmHealth.set(name, {
    status: known?.status,
    reportedAt: known?.reportedAt ?? -Infinity,
    missingSince: known?.missingSince ?? state.now,
    refused: cause === "refused",
  });
}

/** Handles the status report of an engine or service, which takes precedence over the list of VMs. */
export function* handleMemberReport(
  state: State,
  { address, status }: EventOf<"member_reported">,
): Effects {
  recordVmHealth(state, status);
  const leaving = state.leaving.get(status.vm);
  if (leaving !== undefined && leaving !== status.incarnation) {
    yield* clearLeaving(state, status.vm);
  }
  if (status.state === "leaving") {
    yield* markLeaving(state, status.vm, status.incarnation);
  }
  const found = findMember(state, address);
  if (found === undefined) return;
  const { target, member } = found;
  const isHead = target.members[0] === member;
  const isRestarted = member.incarnation !== undefined &&
    member.incarnation !== status.incarnation;
  if (isHead && isRestarted) {
    forgetBackoff(state, target);
    yield* confirmCrash(state, target.name);
  }
  if (isHead && !isRestarted) dismissCuts(state, target.name);
  member.status = status;
  member.confirmedAt = state.now;
  member.incarnation = status.incarnation;
  member.refused = false;
  yield* evaluateTarget(state, target);
  if (isHead && status.load !== undefined) {
    yield* recordLoadReport(state, target, status);
  }
}

function learnFromReport(state: State, pool: Pool, load: LoadReport): void {
  const targetMs = state.config?.config.policy.betweenTokensMs ?? Infinity;
  const { running, stepMs, maxBatch } = load;
  recordStep(pool.model, { running, stepMs, targetMs, maxBatch });
}

function* recordLoadReport(
  state: State,
  target: Target,
  { load }: MemberStatus,
): Effects {
  const pool = state.pools.get(target.deployment);
  if (pool === undefined || load === undefined) return;
  updateAttemptAverage(target, state.now);
  target.report = load;
  target.reportedAt = state.now;
  if (pool.deployment.kind === "model") {
    yield* evaluateReport(state, pool, target);
    const isNormal = target.phase === "serving" &&
      target.factor < MAX_LEARNED_FACTOR;
    if (isNormal && load.running > 0) learnFromReport(state, pool, load);
  }
  refreshTarget(state, target);
  yield* dispatchPool(state, pool);
}

/** Handles a VM that did not respond: a refused connection means that it is dead, silence only that it may be. */
export function* handleUnreachableMember(
  state: State,
  event: EventOf<"member_unreachable">,
): Effects {
  const { address, cause } = event;
  recordUnreachable(state, event);
  const found = findMember(state, address);
  if (found === undefined) return;
  if (cause === "refused") found.member.refused = true;
  yield* evaluateTarget(state, found.target);
  if (cause === "refused" && found.target.epoch !== undefined) {
    yield* failOverAttempts(state, found.target);
  }
  const isHead = found.target.members[0] === found.member;
  if (cause === "refused" && isHead && !isCutOff(state)) {
    yield* confirmCrash(state, found.target.name);
  }
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

/** Reevaluates whether a target may accept work. */
export function* evaluateTarget(state: State, target: Target): Effects {
  const confirmed = target.members.every((member) =>
    isConfirmed(state, target, member)
  );
  const pool = state.pools.get(target.deployment);
  if (!confirmed) return yield* changeTargetPhase(state, target, "invalidate");
  if (target.phase === "serving") return;
  yield* changeTargetPhase(state, target, "confirm");
  if (pool !== undefined) yield* dispatchPool(state, pool);
}

/** Checks that the reports of a target's members are still fresh, and deletes the target if it is removed and idle. */
export function* checkMembers(
  state: State,
  { target: name }: { target: string },
): Effects {
  const target = state.targets.get(name);
  if (target === undefined) return;
  yield* evaluateTarget(state, target);
  yield* deleteIfIdle(state, target);
  scheduleMemberCheck(state, target);
}
