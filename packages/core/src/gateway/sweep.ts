/**
 * Sweeps all requests at short intervals: ends those past their deadline or that waited too long for a slot, and moves
 * those whose runner is silent.
 *
 * @module
 */
import { pruneQueue } from "../admission/waiting_queue.ts";
import { placementRefusal } from "../placement/refusal.ts";
import { tryHedge } from "../hedging/mod.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import {
  FIRST_EVENT_OBJECTIVES,
  MIN_FIRST_EVENT_MS,
  SLOW_RESPONSE_OBJECTIVES,
  STREAM_STALL_MS,
} from "./constants.ts";
import { failRequest } from "./finish.ts";
import { quarantineRefusal } from "./held_requests.ts";
import { canMove, failAttempt } from "./retry.ts";
import { capacityRetryAfter } from "./retry_after.ts";
import { isStream } from "./routes.ts";
import { backoffRefusal, isHopeless } from "./runner_backoff.ts";
import { workKey } from "./runner_index.ts";
import { hasTime, TOO_LATE } from "./time_left.ts";
import { serveWaiting } from "./send.ts";
import { checkSharedWait } from "./shared_admission.ts";
import type { Gateway, RoutedRequest } from "./types.ts";

/** Sends waiting requests, and checks the deadline and the progress of all requests. */
export function* sweepRequests(state: State, gateway: Gateway): Effects {
  for (const key of gateway.waitingRequests.keys()) {
    yield* serveWaiting(state, gateway, key);
  }
  for (const queue of gateway.admission.queues.values()) {
    pruneQueue(queue, { now: state.now });
  }
  for (const request of [...gateway.requests.values()]) {
    yield* checkRequest(state, gateway, request);
  }
}

function* checkRequest(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
): Effects {
  if (state.now >= request.expiresAt) {
    return yield* failRequest(state, gateway, request, {
      code: "deadline_passed",
      message: "No response arrived within the time allowed",
      retryAfterMs: capacityRetryAfter(state, request),
    });
  }
  if (request.isWaiting) return yield* checkWait(state, gateway, request);
  if (request.currentAttempt === undefined) return;
  yield* tryHedge(state, request);
  const outcome = stallOf(request, state.now);
  // A stream that only pauses goes on where it has nowhere else to go.
  const isReplaceable = request.parallelAttempt !== undefined ||
    canMove(state, gateway, request);
  if (outcome === undefined || !isReplaceable) return;
  yield {
    kind: "cancel",
    request: request.id,
    attempt: request.currentAttempt.number,
  };
  yield* failAttempt(state, gateway, { request, outcome, isRelayable: false });
}

function* checkWait(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
): Effects {
  const refusal = quarantineRefusal(state, request);
  if (refusal !== undefined) {
    return yield* failRequest(state, gateway, request, refusal);
  }
  if (!hasTime(state, request)) {
    return yield* failRequest(state, gateway, request, TOO_LATE);
  }
  const unplaced = placementRefusal(state, request);
  // A stream that waits to be resumed would be cut off; a group may open for it in time.
  if (unplaced !== undefined && !request.isRelaying) {
    return yield* failRequest(state, gateway, request, unplaced);
  }
  if (isHopeless(state, request)) {
    return yield* failRequest(
      state,
      gateway,
      request,
      backoffRefusal(state, request),
    );
  }
  const queue = gateway.admission.queues.get(workKey(request));
  const waiter = queue?.waiters.get(request.id);
  if (waiter !== undefined) {
    return yield* checkSharedWait(state, request, waiter);
  }
  if (state.now < request.waitUntil) return;
  yield* failRequest(state, gateway, request, {
    code: "overloaded",
    message: "All runners are full; try again",
    retryAfterMs: capacityRetryAfter(state, request),
  });
}

/** Returns the outcome of an attempt that takes too long; undefined while it may go on. */
function stallOf(
  { route, currentAttempt: attempt }: RoutedRequest,
  now: number,
): Outcome | undefined {
  if (attempt === undefined || attempt.isBlocked) return undefined;
  const silence = now - attempt.lastByteAt;
  const late = attempt.isSent ? "response_timeout" : "connect_timeout";
  if (!isStream(route)) {
    const limit = route.targetLatencyMs * SLOW_RESPONSE_OBJECTIVES;
    return silence > limit ? late : undefined;
  }
  if (attempt.hasHeaders) {
    return silence > STREAM_STALL_MS ? "body_cut_off" : undefined;
  }
  const limit = Math.max(
    MIN_FIRST_EVENT_MS,
    route.targetLatencyMs * FIRST_EVENT_OBJECTIVES,
  );
  return silence > limit ? late : undefined;
}
