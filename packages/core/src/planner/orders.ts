/**
 * Sends orders to engines, and repeats them until the engines report what the log says.
 *
 * @module
 */

import { MAX_LOADING, ORDER_REPEAT_MS, QUARANTINE_MS } from "./constants.ts";
import type { EngineOrder } from "../effect/types.ts";
import type { FoldedGroup, VmAssignment } from "../fold/types.ts";
import { holdsLease, LEASE_MARGIN_MS, LEASE_MS } from "../lease/lease.ts";
import type { Effects } from "../reduce_types.ts";
import { isSettling, ownGroups, propose, type Scope } from "./context.ts";

/**
 * Orders quarantined VMs to unload their weights, and frees those that are confirmed empty or gone.
 *
 * Quarantine ends when the engine itself reports that it is empty, or when the VM has been gone for a long time.
 */
export function* freeQuarantined(scope: Scope): Effects {
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

/**
 * Orders weight loads where an engine does not report what the log says.
 *
 * Groups that lack the fewest members load first, since they are closest to serving.
 */
export function* orderLoads(scope: Scope): Effects {
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
