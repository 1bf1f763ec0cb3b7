/**
 * Sends orders to runners and tracks those whose effect is not reported yet.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Runner } from "../gateway/types.ts";
import { DUTY_LIFE_MS, ORDER_LIFE_MS } from "./constants.ts";
import { nextFence, resignDuty } from "./leadership.ts";
import type { OpenOrder, OrderOutcome, RunnerOrder } from "./types.ts";

/** Sends an order to a runner, under a new fencing number unless one is given. */
export function* orderRunner(
  state: State,
  runner: Runner,
  { order, fence }: { order: RunnerOrder; fence?: number },
): Effects {
  const { formation } = state.gateway!;
  const number = fence ?? nextFence(formation);
  formation.openOrders.set(runner.id, {
    order,
    fence: number,
    born: runner.born,
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
      fence: number,
    },
  };
  yield {
    kind: "order_runner",
    runner: runner.id,
    address: runner.address,
    fence: number,
    validUntil: formation.duty.renewedAt + DUTY_LIFE_MS,
    order,
  };
}

/** Outcomes after which the runner is expected to report the order's effect. */
const TAKEN: ReadonlySet<OrderOutcome> = new Set(["accepted", "already_done"]);

/** Handles the outcome of an order. */
export function* settleOrder(
  state: State,
  { runner, fence, outcome }: EventOf<"order_settled">,
): Effects {
  const { formation } = state.gateway!;
  const open = formation.openOrders.get(runner);
  if (open?.fence !== fence) return;
  open.outcome = outcome;
  if (TAKEN.has(outcome)) return;
  yield {
    kind: "log",
    event: "order_failed",
    fields: { runner, fence, action: open.order.action, outcome },
  };
  // An order without a response stays pending until it times out, since the runner may still carry it out.
  if (outcome === "unknown") return;
  formation.openOrders.delete(runner);
  if (outcome === "fenced") yield* resignDuty(state, "fenced");
}

/** Returns whether the runner's report shows that the order took effect. */
function shows({ order }: OpenOrder, runner: Runner): boolean {
  const { membership } = runner;
  if (order.action === "stage") return runner.staged.includes(order.model);
  const isPlace = membership?.group === order.group &&
    membership.epoch === order.epoch;
  if (order.action === "join") return isPlace;
  if (order.action === "leave") return !isPlace;
  if (order.action === "open") {
    return !isPlace || membership.state === "open";
  }
  return !isPlace || membership.state !== "open";
}

/** Drops pending orders that took effect, that timed out, or whose runner restarted or is gone. */
export function pruneOrders({ gateway, now }: State): void {
  const { formation, runners } = gateway!;
  for (const [id, open] of formation.openOrders) {
    const runner = runners.get(id);
    const isOver = runner === undefined || runner.born !== open.born ||
      shows(open, runner) ||
      (now - open.sentAt > ORDER_LIFE_MS && open.order.action !== "stage") ||
      now - open.sentAt > STAGE_LIFE_MS;
    if (isOver) formation.openOrders.delete(id);
  }
}

/** Weights that a runner does not report this long after the order to load them are ordered again, ms. */
const STAGE_LIFE_MS = 30_000;
