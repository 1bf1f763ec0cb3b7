/**
 * Stops this daemon gracefully, and handles drains that an operator orders.
 *
 * @module
 */
import { createMachine, state as machineState, transition } from "robot3";
import type { EventOf } from "../event/types.ts";
import { drainVm } from "../health/leaving.ts";
import { maintainLease } from "../lease/lease.ts";
import type { Effects } from "../reduce_types.ts";
import { updateReadiness } from "../state/readiness.ts";
import type { NodePhase, State } from "../state/types.ts";
import { publishUsage } from "../usage/ledger.ts";
import { nextState } from "../util/machine.ts";
import { schedule } from "../util/timer_queue.ts";

const DRAIN_CHECK_MS = 50;
/** Longest wait for the last records to reach the log before exit, ms. */
const FINAL_APPENDS_TIMEOUT_MS = 3_000;

/** Life cycle of the daemon itself. */
export const nodeMachine = createMachine("serving", {
  serving: machineState(transition("drain", "draining")),
  draining: machineState(transition("finish", "stopped")),
  stopped: machineState(),
});

/** Moves the daemon to its next phase; returns false where its machine does not allow the step. */
export function advanceNode(state: State, step: "drain" | "finish"): boolean {
  const next = nextState<NodePhase>(nodeMachine, state.phase, step);
  if (next === undefined) return false;
  state.phase = next;
  return true;
}

/** Handles a stop signal; a second signal ends the daemon at once and logs the requests that it cuts off. */
export function* handleStopOrder(
  state: State,
  { immediate }: EventOf<"stop_ordered">,
): Effects {
  if (immediate) return yield* stopNow(state);
  if (!advanceNode(state, "drain")) return;
  state.drainingSince = state.now;
  yield {
    kind: "log",
    event: "stopping",
    fields: { requests: state.requests.size },
  };
  yield* updateReadiness(state);
  schedule(state.timers, state.now + state.node.balancerLagMs, {
    timer: { kind: "drain_check" },
  });
}

function* stopNow(state: State): Effects {
  const cut = [...state.requests.keys()];
  yield {
    kind: "log",
    event: "stop_hurried",
    fields: { cut: cut.length, requests: cut.slice(0, 20).join(" ") },
  };
  yield* finishStop(state, cut.length);
}

function* finishStop(state: State, cut: number): Effects {
  if (!advanceNode(state, "finish")) return;
  yield { kind: "log", event: "stopped", fields: { cut } };
  yield { kind: "exit", interruptedRequests: cut };
}

/** Ends the daemon once nothing is in flight and its last records are in the log. */
export function* checkDrain(state: State): Effects {
  if (state.phase !== "draining") return;
  const isIdle = state.requests.size + state.catchUp.deferred.length === 0;
  if (isIdle && !state.drainFlushed) {
    state.drainFlushed = true;
    state.drainingSince = state.now;
    state.usage.publishedAt = -Infinity;
    yield* publishUsage(state);
    yield* releaseLeases(state);
  }
  const isFlushed = state.log.pending.size === 0 ||
    state.now - state.drainingSince > FINAL_APPENDS_TIMEOUT_MS;
  const hasWaited = state.now - state.drainingSince >= DRAIN_CHECK_MS;
  if (state.drainFlushed && hasWaited && isFlushed) {
    return yield* finishStop(state, 0);
  }
  schedule(state.timers, state.now + DRAIN_CHECK_MS, {
    timer: { kind: "drain_check" },
  });
}

function* releaseLeases(state: State): Effects {
  for (const lease of state.leases.values()) {
    yield* maintainLease(state, lease, { wanted: false });
  }
}

/** Handles a drain that an operator ordered. */
export function* handleDrainOrder(
  state: State,
  { what, name, at }: EventOf<"drain_ordered">,
): Effects {
  if (what === "vm") return yield* drainVm(state, name);
  yield* handleStopOrder(state, { kind: "stop_ordered", immediate: false, at });
}
