/**
 * Tracks the VMs that are leaving, by the report of an engine, a peer, the VM list or an operator, and drains their
 * targets.
 *
 * @module
 */

import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State, Target } from "../state/types.ts";
import { changeTargetPhase } from "./target_lifecycle.ts";

/** Records that one incarnation of a VM is leaving, whatever the source, and drains its targets. */
export function* markLeaving(
  state: State,
  vm: string,
  incarnation: string,
): Effects {
  const known = state.vmHealth.get(vm)?.status?.incarnation;
  if (known !== undefined && known !== incarnation) return;
  if (state.leaving.get(vm) === incarnation) return;
  state.leaving.set(vm, incarnation);
  yield { kind: "log", event: "vm_leaving", fields: { vm, incarnation } };
  for (const target of findTargets(state, vm)) {
    yield* changeTargetPhase(state, target, "drain");
  }
}

/** Clears the leaving mark of a VM once a new incarnation of it reports. */
export function* clearLeaving(state: State, vm: string): Effects {
  state.leaving.delete(vm);
  for (const target of findTargets(state, vm)) {
    const stillLeaving = target.members.some(({ member }) =>
      state.leaving.has(member.vm)
    );
    if (!target.removing && !stillLeaving) {
      yield* changeTargetPhase(state, target, "restart");
    }
  }
}

function findTargets(state: State, vm: string): Target[] {
  const address = state.vms.get(vm)?.address;
  const byList = address === undefined
    ? undefined
    : state.targets.get(state.targetNameByAddress.get(address) ?? "");
  if (byList !== undefined) return [byList];
  return [...state.targets.values()].filter(({ members }) =>
    members.some(({ member }) => member.vm === vm)
  );
}

/** Handles the platform's list of VMs, which may be out of date. */
export function* updateVmList(
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

/** Drains one VM on an operator's order. */
export function* drainVm(state: State, vm: string): Effects {
  const incarnation = state.vmHealth.get(vm)?.status?.incarnation ??
    state.vms.get(vm)?.incarnation ?? "operator";
  yield* markLeaving(state, vm, incarnation);
}
