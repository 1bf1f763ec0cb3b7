/**
 * Sends requests to runners, and queues those that wait for a free slot.
 *
 * @module
 */
import { mayDecide } from "../catch_up/mod.ts";
import { chooseForwarder, forwarderStatsOf } from "../forwarding/forwarders.ts";
import type { Effects } from "../reduce_types.ts";
import { knownChains } from "../quarantine/mod.ts";
import type { State } from "../state/types.ts";
import { chooseDestination, type Destination } from "./choose.ts";
import { runnerStatsOf } from "./runner_stats.ts";
import { MAX_URGENCY } from "./constants.ts";
import { quarantineRefusal } from "./held_requests.ts";
import { countLimitedSend } from "./request_limit.ts";
import { canRepeat, isStream } from "./routes.ts";
import { noteTrial } from "./runner_backoff.ts";
import { workKey } from "./runner_index.ts";
import type { Gateway, RoutedRequest } from "./types.ts";

/** Queues a request until a slot is free. */
export function joinQueue(gateway: Gateway, request: RoutedRequest): void {
  request.isWaiting = true;
  const key = workKey(request);
  const queue = gateway.waitingRequests.get(key) ?? new Set();
  queue.add(request.id);
  gateway.waitingRequests.set(key, queue);
}

/** Removes a request from its queue. */
export function leaveQueue(gateway: Gateway, request: RoutedRequest): void {
  if (!request.isWaiting) return;
  request.isWaiting = false;
  gateway.waitingRequests.get(workKey(request))?.delete(request.id);
}

/** Orders requests by priority, the most urgent first, then by age, the oldest first. */
function byUrgency(left: RoutedRequest, right: RoutedRequest): number {
  return left.priority - right.priority ||
    left.arrivedAt - right.arrivedAt;
}

/** Sends waiting requests in order of priority and age while slots are free. */
export function* serveWaiting(
  state: State,
  gateway: Gateway,
  key: string,
): Effects {
  const queue = gateway.waitingRequests.get(key);
  if (queue === undefined || queue.size === 0 || !mayDecide(state)) return;
  const requests = [...queue].flatMap((id) => gateway.requests.get(id) ?? []);
  requests.sort(byUrgency);
  for (const request of requests) {
    if (quarantineRefusal(state, request) !== undefined) continue;
    const destination = chooseDestination(state, gateway, request, {
      canUseReserved: request.mayHaveRun,
    });
    if (destination === undefined) continue;
    leaveQueue(gateway, request);
    yield* sendToRunner(state, gateway, { request, ...destination });
  }
}

/** Sends a request to a runner. */
export function* sendToRunner(
  state: State,
  gateway: Gateway,
  { request, runner, path }: Destination & { request: RoutedRequest },
): Effects {
  const { id } = runner;
  const forwarder = path === "forwarded"
    ? chooseForwarder(state, request)
    : undefined;
  if (forwarder !== undefined) {
    forwarderStatsOf(gateway, forwarder.node).inFlight += 1;
  }
  const stats = runnerStatsOf(gateway, id);
  stats.inFlight += 1;
  countLimitedSend(gateway, stats, state.now);
  noteTrial(stats, state.now);
  request.attempts += 1;
  request.countedAttempts += 1;
  request.triedRunners.add(id);
  request.unreachedRunners.delete(id);
  request.currentAttempt = {
    number: request.attempts,
    runner: id,
    startedUnixMs: runner.startedUnixMs,
    forwarder: forwarder?.node,
    sentAt: state.now,
    lastByteAt: state.now,
    isSent: false,
    hasHeaders: false,
    isStreaming: false,
    progressCount: 0,
    headersAt: 0,
    isSound: false,
    chains: knownChains(state.quarantine, request.crashSuspects),
    isBlocked: false,
    blockedAt: 0,
    wasLeftUnread: false,
  };
  yield {
    kind: "log",
    event: "request_sent",
    fields: {
      request: request.id,
      try: request.attempts,
      runner: id,
      age: Math.round(state.now - request.arrivedAt),
      late: Math.round(state.lateMs),
      forwarder: forwarder?.node,
      group: runner.membership?.group,
      epoch: runner.membership?.epoch,
      inFlight: stats.inFlight,
      loadAge: stats.load && Math.round(state.now - stats.load.at),
      configVersion: gateway.routing?.document.version,
      resumeAfter: request.isRelaying ? request.lastEvent : undefined,
    },
  };
  yield {
    kind: "send_to_runner",
    request: request.id,
    attempt: request.attempts,
    runner: id,
    address: runner.address,
    remainingMs: Math.max(1, Math.floor(request.expiresAt - state.now)),
    urgency: Math.min(MAX_URGENCY, request.priority),
    team: request.team,
    resumeAfter: request.lastEvent,
    isRepeatable: canRepeat(request.route),
    isStream: isStream(request.route),
    isTrial: request.isTrial,
    forwarder,
  };
}
