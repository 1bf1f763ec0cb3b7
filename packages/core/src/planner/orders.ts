/**
 * Sends orders to engines, and repeats them until the engines report what the log says.
 *
 * @module
 */

import {
  MAX_CONCURRENT_LOADS,
  ORDER_REPEAT_MS,
  QUARANTINE_MS,
} from "./constants.ts";
import type { EngineOrder } from "../effect/types.ts";
import type { FoldedGroup, VmAssignment } from "../fold/types.ts";
import { holdsLease, LEASE_MARGIN_MS, LEASE_MS } from "../lease/lease.ts";
import type { Effects } from "../reduce_types.ts";
import {
  isCoolingDown,
  listPlannableGroups,
  type PlanningContext,
  proposeChange,
} from "./context.ts";

/**
 * Orders quarantined VMs to unload their weights, and frees those that are confirmed empty or gone.
 *
 * Quarantine ends when the engine itself reports that it is empty, or when the VM has been gone for a long time.
 */
export function* freeQuarantined(context: PlanningContext): Effects {
  const { state, planner } = context;
  for (const assignment of state.fold.vms.values()) {
    if (!assignment.quarantined || assignment.deployment !== context.name) {
      continue;
    }
    const cause = freedCause(context, assignment);
    if (cause !== undefined) {
      if (isCoolingDown(context, assignment.vm)) continue;
      const { vm, epoch } = assignment;
      yield* proposeChange(context, {
        type: "vm_freed",
        vm,
        epoch,
        cause,
        fence: context.fence,
      }, vm);
    } else if (isOrderDue(context, assignment.vm)) {
      planner.orderedAt.set(assignment.vm, state.now);
      yield* sendOrder(context, assignment, {
        action: "unload",
        epoch: assignment.epoch,
      });
    }
  }
}

function freedCause(
  { state, planner }: PlanningContext,
  { vm, epoch }: VmAssignment,
): "unloaded" | "gone" | undefined {
  const health = state.vmHealth.get(vm);
  const isFresh = (health?.reportedAt ?? -Infinity) > planner.termStartedAt;
  const status = health?.status;
  if (isFresh && status?.state === "empty" && (status.epoch ?? 0) >= epoch) {
    return "unloaded";
  }
  const missingSince = health?.missingSince;
  const isGone = !state.vms.has(vm) && missingSince !== undefined &&
    state.now - missingSince > QUARANTINE_MS;
  return isGone ? "gone" : undefined;
}

function isOrderDue({ state, planner }: PlanningContext, vm: string): boolean {
  return state.now - (planner.orderedAt.get(vm) ?? -Infinity) >=
    ORDER_REPEAT_MS;
}

function* sendOrder(
  { state, lease }: PlanningContext,
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

function isLoading({ state }: PlanningContext, vm: string): boolean {
  return state.vmHealth.get(vm)?.status?.state === "loading";
}

function needsWeightLoad(
  { state }: PlanningContext,
  group: FoldedGroup,
  vm: string,
): boolean {
  const status = state.vmHealth.get(vm)?.status;
  return status !== undefined &&
    (status.group !== group.name || status.epoch !== group.epoch);
}

/**
 * Orders weight loads where an engine does not report what the log says.
 *
 * Groups that lack the fewest members load first, since they are closest to serving.
 */
export function* orderWeightLoads(context: PlanningContext): Effects {
  const { state, planner } = context;
  const groups = listPlannableGroups(context).filter(({ phase }) =>
    phase === "formed"
  );
  const countMissing = (group: FoldedGroup) =>
    group.members.filter(({ vm }) => needsWeightLoad(context, group, vm))
      .length;
  const sorted = groups.toSorted((left, right) =>
    countMissing(left) - countMissing(right)
  );
  let loading =
    groups.flatMap(({ members }) => members).filter(({ vm }) =>
      isLoading(context, vm)
    ).length;
  for (const group of sorted) {
    for (const member of group.members) {
      if (
        !needsWeightLoad(context, group, member.vm) ||
        !isOrderDue(context, member.vm)
      ) continue;
      if (loading >= MAX_CONCURRENT_LOADS) return;
      loading += 1;
      planner.orderedAt.set(member.vm, state.now);
      const { name, epoch, members } = group;
      yield* sendOrder(context, member, {
        action: "load",
        group: name,
        epoch,
        deployment: context.name,
        members,
      });
    }
  }
}
