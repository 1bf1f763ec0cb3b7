/**
 * Handles what a backend server says of itself in its answers: that it wants no requests for a while, or that it leaves.
 *
 * @module
 */
import { refreshTarget } from "../capacity/targets.ts";
import type { EventOf } from "../event/types.ts";
import { markLeaving } from "../health/leaving.ts";
import { backOffTarget } from "../health/backoff.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { dispatchPool } from "./dispatch.ts";
import { currentRequest } from "./progress.ts";

/** Handles the head of an answer that says something of its backend server. */
export function* handleServerReport(
  state: State,
  event: EventOf<"server_reported">,
): Effects {
  const request = currentRequest(state, event);
  const target = state.targets.get(request?.target ?? "");
  const head = target?.members[0];
  if (target === undefined || head === undefined) return;
  const { incarnation, member: { vm } } = head;
  if (event.isLeaving && incarnation !== undefined) {
    yield* markLeaving(state, vm, incarnation);
  }
  if (event.backoffMs !== undefined) {
    yield* backOffTarget(state, target, event.backoffMs);
  }
}

/** Lets one request go to a target that has had its back-off. */
export function* resumeTarget(
  state: State,
  { target: name }: { target: string },
): Effects {
  const target = state.targets.get(name);
  const pool = state.pools.get(target?.deployment ?? "");
  if (target === undefined || pool === undefined) return;
  refreshTarget(state, target);
  yield* dispatchPool(state, pool);
}
