/**
 * Reduces all events. The reducer reads no clock and does no I/O: each event carries its time, and the work to be done
 * is returned as effects.
 *
 * @module
 */
import { pruneIdle } from "./admission/fair_queue.ts";
import { updateHeaviestUse } from "./admission/overdraft.ts";
import {
  dropDeferred,
  mayDecide,
  noteLateness,
  recordRead,
  takeDueEvent,
  tryDefer,
} from "./catch_up/mod.ts";
import { wakeAllWaiters } from "./claim/waiters.ts";
import { applyConfig } from "./config/apply.ts";
import { RANKS } from "./config/types.ts";
import {
  checkDrain,
  handleDrainOrder,
  handleStopOrder,
} from "./drain/drain.ts";
import type { Effect } from "./effect/types.ts";
import type { Event, EventKind } from "./event/types.ts";
import { completeAppend, retryAppends } from "./fold/append.ts";
import {
  handleFoldRestored,
  handleLogRead,
  handleLogUnreachable,
} from "./fold/log_reader.ts";
import { probeTarget } from "./health/ejection.ts";
import {
  checkMembers,
  handleMemberReport,
  handleUnreachableMember,
} from "./health/members.ts";
import { applyParts, pruneSuspects } from "./quarantine/mod.ts";
import { GATEWAY_HANDLERS } from "./gateway/handlers.ts";
import { sweepGateway } from "./gateway/gateway.ts";
import { serveWaiting } from "./gateway/send.ts";
import { updateVmList } from "./health/leaving.ts";
import {
  disconnectPeer,
  joinPeer,
  receiveMessage,
  sendDigests,
} from "./peer/digest.ts";
import { planDeployments } from "./planner/planner.ts";
import {
  type Effects,
  type Handler,
  noEffects,
  type TimerHandler,
} from "./reduce_types.ts";
import { handleArrival } from "./request/arrive.ts";
import { checkPreemption, dispatchPool } from "./request/dispatch.ts";
import {
  handleAttemptEnd,
  handleDisconnect,
  handleFirstByte,
  handleProgress,
} from "./request/progress.ts";
import { checkStall, expireRequest } from "./request/expiry.ts";
import { retryRequest } from "./request/retry.ts";
import { handleServerReport, resumeTarget } from "./request/server_report.ts";
import { applyCacheEvents } from "./routing/cache_events.ts";
import { writeSnapshots } from "./snapshot/snapshot.ts";
import { updateReadiness } from "./state/readiness.ts";
import type { State } from "./state/types.ts";
import { appendUsage, publishUsage } from "./usage/ledger.ts";
import { popDue, schedule, type Timer } from "./util/timer_queue.ts";

/** Interval of housekeeping, ms. */
const HOUSEKEEPING_MS = 250;

type Handlers = { [K in EventKind]: Handler<K> };
type TimerHandlers = { [K in Timer["kind"]]: TimerHandler<K> };

const HANDLERS: Handlers = {
  ...GATEWAY_HANDLERS,
  parts_read: (state, { readings }) => applyParts(state, readings),
  tick: noEffects,
  *sockets_read(state) {
    yield* recordRead(state);
    yield* serveQueues(state);
  },
  *deferred_due(state) {
    const event = takeDueEvent(state);
    if (event !== undefined) yield* runHandler(state, event);
  },
  request_arrived: handleArrival,
  caller_gone: handleDisconnect,
  attempt_accepted: handleFirstByte,
  server_reported: handleServerReport,
  attempt_progress: handleProgress,
  attempt_ended: handleAttemptEnd,
  member_reported: handleMemberReport,
  member_unreachable: handleUnreachableMember,
  cache_changed: applyCacheEvents,
  vms_listed: updateVmList,
  *config_loaded(state, { document }) {
    yield* applyConfig(state, {
      offset: 0,
      at: 0,
      author: "settings",
      document,
    });
    yield* updateReadiness(state);
  },
  log_read: handleLogRead,
  log_unreachable: handleLogUnreachable,
  fold_restored: handleFoldRestored,
  *append_completed(state, { ids, stored }) {
    yield* completeAppend(state, ids, { stored });
  },
  usage_signed: appendUsage,
  peer_joined: joinPeer,
  peer_lost: disconnectPeer,
  peer_received: receiveMessage,
  drain_ordered: handleDrainOrder,
  stop_ordered: handleStopOrder,
};

const TIMERS: TimerHandlers = {
  request_expiry: expireRequest,
  request_retry: retryRequest,
  stream_stall: checkStall,
  member_check: checkMembers,
  ejection_end: probeTarget,
  backoff_end: resumeTarget,
  housekeeping: runHousekeeping,
  peer_digest: sendDigests,
  append_retry: retryAppends,
  preempt_check: checkPreemption,
  drain_check: checkDrain,
  gateway_sweep: sweepGateway,
};

function* runHousekeeping(state: State): Effects {
  schedule(state.timers, state.now + HOUSEKEEPING_MS, {
    timer: { kind: "housekeeping" },
  });
  yield* planDeployments(state);
  yield* writeSnapshots(state);
  yield* wakeAllWaiters(state);
  yield* publishUsage(state);
  yield* pruneSuspects(state);
  for (const pool of state.pools.values()) {
    for (const rank of RANKS) pruneIdle(pool.queues[rank]);
    updateHeaviestUse(state, pool);
    yield* dispatchPool(state, pool);
  }
}

function* runTimers(state: State): Effects {
  let timer = popDue(state.timers, state.now);
  while (timer !== undefined) {
    const handler = TIMERS[timer.kind] as (
      state: State,
      timer: Timer,
    ) => Effects;
    yield* handler(state, timer);
    timer = popDue(state.timers, state.now);
  }
}

function* handle(state: State, event: Event): Effects {
  noteLateness(state, event);
  if (state.catchUp.deferred.length > 0) yield* dropDeferred(state, event);
  if (!tryDefer(state, event)) yield* runHandler(state, event);
  if (mayDecide(state)) yield* runTimers(state);
}

function runHandler(state: State, event: Event): Effects {
  const handler = HANDLERS[event.kind] as (
    state: State,
    event: Event,
  ) => Effects;
  return handler(state, event);
}

/** Serves all queues, which wait while the sockets are not read. */
function* serveQueues(state: State): Effects {
  const { gateway } = state;
  for (const key of gateway?.waitingRequests.keys() ?? []) {
    yield* serveWaiting(state, gateway!, key);
  }
  for (const pool of state.pools.values()) yield* dispatchPool(state, pool);
}

/**
 * Handles one event and returns its effects in order.
 *
 * The reducer owns the state and changes it in place, so that the cost of a step does not grow with the fleet. The
 * same state and event always give the same effects.
 *
 * @example
 * ```ts
 * for (const effect of reduce(state, { kind: "tick", at: 250 })) carryOut(effect);
 * ```
 */
export function reduce(state: State, event: Event): Effect[] {
  state.now = Math.max(state.now, event.at);
  state.lateMs = event.lateMs ?? 0;
  return [...handle(state, event)];
}

/** Returns the time of the next timer, so that a driver can sleep until then. */
export function nextTimerAt(state: State): number | undefined {
  return state.timers.heap.peek()?.at;
}
