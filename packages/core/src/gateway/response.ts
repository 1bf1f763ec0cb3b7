/**
 * Handles the responses of runners: headers, stream events, ends and failures.
 *
 * @module
 */
import { forwarderStatsOf } from "../forwarding/forwarders.ts";
import type { EventOf } from "../event/types.ts";
import { observeFirstEvent } from "../load/attempts.ts";
import { recordReport } from "../load/reports.ts";
import { hearLimit } from "../pacing/mod.ts";
import {
  makeCurrent,
  recordFirstResponse,
  settleHedge,
} from "../hedging/mod.ts";
import { isCut } from "../quarantine/mod.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import { proveLost } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import { runnerStatsOf } from "./runner_stats.ts";
import { endRequest, logEnd } from "./finish.ts";
import {
  reportCompletion,
  reportCut,
  reportProgress,
} from "./held_requests.ts";
import { hearLeaving } from "./leaving.ts";
import { recordLoad } from "./occupancy.ts";
import { failAttempt } from "./retry.ts";
import { isLeftUnread } from "./unread.ts";
import { isStream } from "./routes.ts";
import { endBackoff, hearBackoff } from "./runner_backoff.ts";
import { recordFirstEvent, recordServiceTimes } from "./service_times.ts";
import type { Gateway, RoutedRequest } from "./types.ts";

function findByAttempt(
  gateway: Gateway,
  { request: id, attempt }: { request: string; attempt: number },
): RoutedRequest | undefined {
  const request = gateway.requests.get(id);
  if (request === undefined) return undefined;
  makeCurrent(request, attempt);
  return request.currentAttempt?.number === attempt ? request : undefined;
}

/** Handles a request that leaves on a connection to its runner. */
export function recordSend(
  state: State,
  event: EventOf<"attempt_sent">,
): Effects {
  const request = findByAttempt(state.gateway!, event);
  if (request === undefined) return noEffects();
  request.currentAttempt!.isSent = true;
  // A runner is not silent before it has the request.
  request.currentAttempt!.lastByteAt = state.now;
  return noEffects();
}

/** Handles the headers of a runner's response. */
export function* startResponse(
  state: State,
  event: EventOf<"response_started">,
): Effects {
  const gateway = state.gateway!;
  const request = findByAttempt(gateway, event);
  if (request === undefined) return;
  const attempt = request.currentAttempt!;
  const stats = runnerStatsOf(gateway, attempt.runner);
  attempt.hasHeaders = true;
  if (attempt.forwarder !== undefined) {
    forwarderStatsOf(gateway, attempt.forwarder).failures = 0;
    proveLost(gateway, request.service);
  }
  attempt.headersAt = state.now;
  attempt.lastByteAt = state.now;
  stats.lastSeenAt = state.now;
  stats.unreachedBy.clear();
  const namesLimit = event.requestsPerSecond !== undefined;
  if (event.verdict === "ran" || namesLimit) {
    yield* hearLimit(state, stats, event);
  }
  const { backoffMs } = event;
  const { runner: id, startedUnixMs } = attempt;
  if (event.isLeaving) yield* hearLeaving(state, { id, startedUnixMs });
  if (backoffMs === undefined) endBackoff(stats, state.now);
  else yield* hearBackoff(state, stats, { backoffMs, startedUnixMs });
  if (event.load !== undefined) {
    stats.load = {
      ...event.load,
      at: state.now,
      localInFlight: stats.inFlight,
    };
    const runner = gateway.runners.get(attempt.runner);
    if (runner !== undefined) {
      recordLoad(gateway, runner, stats.load);
      recordReport(state, runner, stats.load);
    }
  }
  if (!isStream(request.route) || event.verdict !== "ran") return;
  stats.failures = 0;
  stats.streaming += 1;
  attempt.isStreaming = true;
  request.mayHaveRun = true;
  // Of two attempts, the one with the first event is relayed.
  if (request.parallelAttempt === undefined) yield* beginRelay(request);
}

function* beginRelay(request: RoutedRequest): Effects {
  if (request.isRelaying) return;
  request.isRelaying = true;
  const { id, currentAttempt } = request;
  yield { kind: "relay", request: id, attempt: currentAttempt!.number };
}

/** Handles whole events of a stream that were relayed to the caller. */
export function* recordProgress(
  state: State,
  event: EventOf<"response_progressed">,
): Effects {
  const gateway = state.gateway!;
  const request = findByAttempt(gateway, event);
  if (request === undefined) return;
  request.currentAttempt!.lastByteAt = state.now;
  request.currentAttempt!.progressCount += 1;
  runnerStatsOf(gateway, request.currentAttempt!.runner).lastSeenAt = state.now;
  request.lastEvent = event.lastEvent ?? request.lastEvent;
  yield* settleHedge(state, request);
  yield* beginRelay(request);
  yield* reportProgress(state, request);
  const attemptTimes = yield* observeFirstEvent(state, request);
  if (request.hasEvents) return;
  request.hasEvents = true;
  recordFirstResponse(state, request);
  recordFirstEvent(state, request);
  const { priority, arrivedAt } = request;
  const ms = state.now - arrivedAt;
  yield { kind: "first_event", priority, ms, attemptTimes };
}

/** Handles a caller that reads more slowly than its runner sends, which is no stall of the runner. */
export function recordBlocked(
  state: State,
  event: EventOf<"relay_blocked">,
): Effects {
  const request = findByAttempt(state.gateway!, event);
  if (request === undefined) return noEffects();
  const attempt = request.currentAttempt!;
  if (event.isBlocked) attempt.blockedAt = state.now;
  else if (isLeftUnread(state, attempt)) attempt.wasLeftUnread = true;
  attempt.isBlocked = event.isBlocked;
  attempt.lastByteAt = state.now;
  return noEffects();
}

/** Handles the end of a complete response. */
export function* endResponse(
  state: State,
  event: EventOf<"response_ended">,
): Effects {
  const gateway = state.gateway!;
  const request = findByAttempt(gateway, event);
  if (request === undefined) return;
  const { runner, forwarder } = request.currentAttempt!;
  const stats = runnerStatsOf(gateway, runner);
  const { status } = event;
  if (event.verdict !== "ran") {
    const outcome = event.verdict === "not_run"
      ? "status_not_run"
      : "status_error";
    return yield* failAttempt(state, gateway, {
      request,
      outcome,
      isRelayable: event.isRelayable,
      side: forwarder === undefined ? undefined : "runner",
    });
  }
  stats.failures = 0;
  yield* settleHedge(state, request);
  if (!isStream(request.route)) recordFirstResponse(state, request);
  recordServiceTimes(state, request);
  yield* reportCompletion(state, request);
  yield logEnd(state, request, {
    status,
    runner,
    verdict: "ran",
    endedBy: event.endedBy === "connection" ? event.endedBy : undefined,
  });
  if (!request.isRelaying) {
    yield { kind: "relay", request: request.id, attempt: event.attempt };
  }
  yield { kind: "finish", request: request.id };
  yield* endRequest(state, gateway, request);
}

/** Handles an attempt that ended without a complete response. */
export function* failResponse(
  state: State,
  event: EventOf<"response_failed">,
): Effects {
  const gateway = state.gateway!;
  const request = findByAttempt(gateway, event);
  if (request === undefined) return;
  const { outcome, side, refusal, wasReset } = event;
  if (side !== "forwarder") yield* reportCut(state, request, outcome);
  yield* failAttempt(state, gateway, {
    request,
    outcome,
    isRelayable: false,
    isDisconnect: isCut(outcome),
    wasReset,
    side,
    refusal,
  });
}
