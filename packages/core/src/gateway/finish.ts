/**
 * Ends requests with their final response and releases the runner of their current attempt.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { release } from "../admission/shares.ts";
import { forwarderStatsOf } from "../forwarding/forwarders.ts";
import { isStranded } from "../forwarding/stranded.ts";
import { recordInFlight } from "../load/runner_loads.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { describeSize } from "./describe_size.ts";
import { runnerStatsOf } from "./runner_stats.ts";
import type { Refusal } from "./lookup.ts";
import { workKey } from "./runner_index.ts";
import { leaveQueue, serveWaiting } from "./send.ts";
import type { Gateway, RoutedRequest } from "./types.ts";

/** Ends the current attempt and releases its runner's slot. */
export function releaseAttempt(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
): void {
  const { currentAttempt: attempt } = request;
  if (attempt === undefined) return;
  const stats = runnerStatsOf(gateway, attempt.runner);
  stats.inFlight -= 1;
  recordInFlight(state, attempt.runner, -1);
  // The other attempt of a hedged request still holds its place.
  if (request.parallelAttempt === undefined) {
    release(gateway.admission, request.id);
  }
  if (attempt.forwarder !== undefined) {
    forwarderStatsOf(gateway, attempt.forwarder).inFlight -= 1;
  }
  if (attempt.isStreaming) stats.streaming -= 1;
  const isUnused = stats.inFlight === 0 &&
    stats.requestsPerSecond === undefined && stats.backoff === undefined &&
    !gateway.runners.has(attempt.runner);
  if (isUnused) gateway.runnerStats.delete(attempt.runner);
  request.currentAttempt = undefined;
}

/** Ends the other attempt of a hedged request, which has lost; nothing is held against its runner. */
export function* cancelParallelAttempt(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
): Effects {
  const { currentAttempt, parallelAttempt: loser } = request;
  if (loser === undefined) return;
  yield { kind: "cancel", request: request.id, attempt: loser.number };
  request.currentAttempt = loser;
  releaseAttempt(state, gateway, request);
  request.currentAttempt = currentAttempt;
  request.parallelAttempt = undefined;
}

/** Removes a request that has its final response, and gives its slot to waiting requests. */
export function* endRequest(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
): Effects {
  yield* cancelParallelAttempt(state, gateway, request);
  releaseAttempt(state, gateway, request);
  leaveQueue(gateway, request);
  gateway.requests.delete(request.id);
  yield* serveWaiting(state, gateway, workKey(request));
}

/** How far a request had come. */
type Stage = "queued" | "connecting" | "sent" | "answering";

function stageOf({ currentAttempt: attempt }: RoutedRequest): Stage {
  if (attempt === undefined) return "queued";
  if (!attempt.isSent) return "connecting";
  return attempt.hasHeaders ? "answering" : "sent";
}

/** Returns the log effect for the end of a request. */
export function logEnd(
  state: State,
  request: RoutedRequest,
  fields: Record<string, string | number | undefined>,
) {
  return {
    kind: "log" as const,
    event: "request_ended" as const,
    fields: {
      request: request.id,
      route: request.route.name,
      ...describeSize(request),
      deadlineMs: Math.round(request.expiresAt - request.arrivedAt),
      tries: request.attempts,
      lastEvent: request.lastEvent,
      tookMs: Math.round(state.now - request.arrivedAt),
      ...fields,
    },
  };
}

/** Ends a request without a complete response: as refused where it never ran, as failed where it may have run. */
export function* failRequest(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
  refusal: Refusal,
): Effects {
  const { id, currentAttempt: attempt, parallelAttempt } = request;
  if (parallelAttempt?.isSent) request.mayHaveRun = true;
  if (attempt !== undefined) {
    // The runner may already have begun.
    if (attempt.isSent) request.mayHaveRun = true;
    yield { kind: "cancel", request: id, attempt: attempt.number };
  }
  const verdict = request.mayHaveRun ? "may_have_run" : "not_run";
  const { code, message } = refusal;
  const retryAfterMs = request.mayHaveRun ? undefined : refusal.retryAfterMs;
  const stage = stageOf(request);
  yield logEnd(state, request, { verdict, code, stage, retryAfterMs });
  const closesConnection = isStranded(state);
  yield {
    kind: "refuse",
    request: id,
    code,
    message,
    verdict,
    retryAfterMs,
    closesConnection,
  };
  yield* endRequest(state, gateway, request);
}

/** Handles a request whose caller closed the connection. */
export function* closeRequest(
  state: State,
  { request: id }: EventOf<"routed_request_closed">,
): Effects {
  const gateway = state.gateway!;
  const request = gateway.requests.get(id);
  if (request === undefined) return;
  if (request.currentAttempt !== undefined) {
    yield {
      kind: "cancel",
      request: id,
      attempt: request.currentAttempt.number,
    };
  }
  yield logEnd(state, request, {
    code: "caller_gone",
    stage: stageOf(request),
    runner: request.currentAttempt?.runner,
    remainingMs: Math.round(request.expiresAt - state.now),
    late: Math.round(state.lateMs),
  });
  yield* endRequest(state, gateway, request);
}
