/**
 * Sends orders to runners and tracks those whose effect is not reported yet.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Runner } from "../gateway/types.ts";
import { LEADERSHIP_TTL_MS, ORDER_TIMEOUT_MS } from "./constants.ts";
import { nextFence, resignLeadership } from "./leadership.ts";
import type { OrderOutcome, PendingOrder, RunnerOrder } from "./types.ts";

/** Sends an order to a runner, under a new fencing number unless one is given. */
export function* orderRunner(
  state: State,
  runner: Runner,
  { order, fence }: { order: RunnerOrder; fence?: number },
): Effects {
  const { groupPlanner } = state.gateway!;
  const orderFence = fence ?? nextFence(groupPlanner);
  groupPlanner.pendingOrders.set(runner.id, {
    order,
    fence: orderFence,
    runnerStartedUnixMs: runner.startedUnixMs,
    sentAt: state.now,
    outcome: undefined,
  });
  yield {
    kind: "log",
    event: "order_sent",
    fields: {
      runner: runner.id,
      action: order.action,
      group: "group" in order ? order.group : undefined,
      epoch: "epoch" in order ? order.epoch : undefined,
      model: "model" in order ? order.model : undefined,
      fence: orderFence,
    },
  };
  yield {
    kind: "order_runner",
    runner: runner.id,
    address: runner.address,
    fence: orderFence,
    validUntil: groupPlanner.leadership.renewedAt + LEADERSHIP_TTL_MS,
    order,
  };
}

/** Outcomes after which the runner is expected to report the order's effect. */
const SUCCESSFUL_OUTCOMES: ReadonlySet<OrderOutcome> = new Set([
  "accepted",
  "already_done",
]);

/** Handles the outcome of an order. */
export function* completeOrder(
  state: State,
  { runner, fence, outcome }: EventOf<"order_completed">,
): Effects {
  const { groupPlanner } = state.gateway!;
  const pending = groupPlanner.pendingOrders.get(runner);
  if (pending?.fence !== fence) return;
  pending.outcome = outcome;
  if (SUCCESSFUL_OUTCOMES.has(outcome)) return;
  yield {
    kind: "log",
    event: "order_failed",
    fields: { runner, fence, action: pending.order.action, outcome },
  };
  // An order without a response stays pending until it times out, since the runner may still carry it out.
  if (outcome === "unknown") return;
  groupPlanner.pendingOrders.delete(runner);
  if (outcome === "fenced") yield* resignLeadership(state, "fenced");
}

/** Returns whether the runner's report shows that the order took effect. */
function hasTakenEffect({ order }: PendingOrder, runner: Runner): boolean {
  const { membership } = runner;
  if (order.action === "stage") return runner.staged.includes(order.model);
  const isMember = membership?.group === order.group &&
    membership.epoch === order.epoch;
  if (order.action === "join") return isMember;
  if (order.action === "leave") return !isMember;
  if (order.action === "open") {
    return !isMember || membership.state === "open";
  }
  return !isMember || membership.state !== "open";
}

/** Drops pending orders that took effect, that timed out, or whose runner restarted or is gone. */
export function pruneOrders({ gateway, now }: State): void {
  const { groupPlanner, runners } = gateway!;
  for (const [id, pending] of groupPlanner.pendingOrders) {
    const runner = runners.get(id);
    const isOver = runner === undefined ||
      runner.startedUnixMs !== pending.runnerStartedUnixMs ||
      hasTakenEffect(pending, runner) ||
      (now - pending.sentAt > ORDER_TIMEOUT_MS &&
        pending.order.action !== "stage") ||
      now - pending.sentAt > STAGE_TIMEOUT_MS;
    if (isOver) groupPlanner.pendingOrders.delete(id);
  }
}

/** Weights that a runner does not report this long after the order to load them are ordered again, ms. */
const STAGE_TIMEOUT_MS = 30_000;
