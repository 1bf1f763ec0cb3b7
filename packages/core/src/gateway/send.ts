/**
 * Sends requests to runners, and queues those that wait for a free slot.
 *
 * @module
 */
import { recordWait } from "../admission/expected_wait.ts";
import { forgetRefused } from "../admission/returns.ts";
import { hold } from "../admission/shares.ts";
import {
  addWaiter,
  queueOf,
  recordStart,
  removeWaiter,
  waitClassOf,
} from "../admission/waiting_queue.ts";
import { mayDecide } from "../catch_up/mod.ts";
import { chooseForwarder, forwarderStatsOf } from "../forwarding/forwarders.ts";
import { recordSharedSend } from "../load/attempts.ts";
import { countSend } from "../pacing/mod.ts";
import type { Effects } from "../reduce_types.ts";
import { knownChains } from "../quarantine/mod.ts";
import type { State } from "../state/types.ts";
import { chooseDestination, type Destination } from "./choose.ts";
import { describeSize } from "./describe_size.ts";
import { occupancyOf } from "./occupancy.ts";
import { runnerStatsOf } from "./runner_stats.ts";
import { quarantineRefusal } from "./held_requests.ts";
import { urgencyAtRunner } from "./runner_urgency.ts";
import { canRepeat, isStream } from "./routes.ts";
import { takeRetryFor } from "./retry_allowance.ts";
import { noteTrial } from "./runner_backoff.ts";
import { workKey } from "./runner_index.ts";
import { isShared } from "./capacity_policy.ts";
import { describeWaiter, findStart, sharedQueueOf } from "./shared_queue.ts";
import type { Gateway, RoutedRequest } from "./types.ts";

/** Queues a request until a slot is free. */
export function joinQueue(state: State, request: RoutedRequest): void {
  const gateway = state.gateway!;
  request.isWaiting = true;
  // A stream that broke off is resumed before all others, so that it is in no fair order.
  if (!request.isRelaying && isShared(gateway, request)) {
    const waiter = describeWaiter(state, request);
    const isReturned = request.attempts > 0;
    addWaiter(sharedQueueOf(state, request), waiter, { isReturned });
  }
  const key = workKey(request);
  const queue = gateway.waitingRequests.get(key) ?? new Set();
  queue.add(request.id);
  gateway.waitingRequests.set(key, queue);
}

/** Removes a request from its queue. */
export function leaveQueue(gateway: Gateway, request: RoutedRequest): void {
  if (!request.isWaiting) return;
  request.isWaiting = false;
  request.awaitsRetry = false;
  const key = workKey(request);
  gateway.waitingRequests.get(key)?.delete(request.id);
  const queue = gateway.admission.queues.get(key);
  if (queue !== undefined) removeWaiter(queue, request.id);
}

/** Orders requests by priority, the most urgent first, then by age, the oldest first. */
function byUrgency(left: RoutedRequest, right: RoutedRequest): number {
  return left.priority - right.priority ||
    left.arrivedAt - right.arrivedAt;
}

/** Sends the waiting requests of a kind of work while slots are free. */
export function* serveWaiting(
  state: State,
  gateway: Gateway,
  key: string,
): Effects {
  const queue = gateway.waitingRequests.get(key);
  if (queue === undefined || queue.size === 0 || !mayDecide(state)) return;
  const waiters = gateway.admission.queues.get(key)?.waiters;
  const isInFairOrder = waiters !== undefined && waiters.size > 0;
  if (waiters === undefined || queue.size > waiters.size) {
    yield* serveByAge(state, gateway, queue);
  }
  if (isInFairOrder) yield* serveInFairOrder(state, gateway, key);
}

/** Sends waiting requests in order of priority and age, except those that wait in fair order. */
function* serveByAge(
  state: State,
  gateway: Gateway,
  queue: ReadonlySet<string>,
): Effects {
  const requests = [...queue].flatMap((id) => gateway.requests.get(id) ?? [])
    .filter((request) => !waitsInFairOrder(gateway, request));
  requests.sort(byUrgency);
  for (const request of requests) {
    if (quarantineRefusal(state, request) !== undefined) continue;
    const destination = chooseDestination(state, gateway, request, {
      canUseReserved: request.mayHaveRun,
    });
    if (destination === undefined) continue;
    if (request.awaitsRetry && !takeRetryFor(state, request)) continue;
    leaveQueue(gateway, request);
    yield* sendToRunner(state, gateway, { request, ...destination });
  }
}

function waitsInFairOrder(
  { admission }: Gateway,
  request: RoutedRequest,
): boolean {
  return admission.queues.get(workKey(request))?.waiters.has(request.id) ??
    false;
}

/** Sends waiting requests by priority and in max-min fair order over routes and teams. */
function* serveInFairOrder(
  state: State,
  gateway: Gateway,
  key: string,
): Effects {
  const blocked = new Set<string>();
  const queue = queueOf(gateway.admission, key, { now: state.now });
  let start = findStart(state, key, { blocked });
  while (start !== undefined) {
    const { request, waiter, destination, usesMinimum } = start;
    // A request that a runner turned away was charged when it first started.
    if (!waiter.isReturned) recordStart(queue, waiter, { now: state.now });
    if (waiter.expectedMs !== undefined) {
      recordWait(queue, {
        waitClass: waitClassOf(waiter),
        expectedMs: waiter.expectedMs,
        waitedMs: state.now - waiter.since,
        isServed: true,
      });
    }
    if (usesMinimum) {
      yield {
        kind: "log",
        event: "minimum_share_used",
        fields: { request: request.id, priority: request.priority },
      };
    }
    leaveQueue(gateway, request);
    yield* sendToRunner(state, gateway, { request, ...destination });
    start = findStart(state, key, { blocked });
  }
}

/** Counts a request that is sent as in flight for its route and team, where the capacity of its service is shared. */
function countHeld(state: State, request: RoutedRequest): void {
  const { admission } = state.gateway!;
  const { path, cost, priority } = describeWaiter(state, request);
  const holder = { queue: workKey(request), priority, path, cost };
  hold(admission, request.id, { holder, now: state.now });
}

/** Sends a request to a runner; one that has an attempt in flight is hedged. */
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
  const expectation = recordSharedSend(state, request, runner);
  const stats = runnerStatsOf(gateway, id);
  const occupancy = request.model === undefined
    ? undefined
    : Math.round(occupancyOf(gateway, { runner, stats }, state.now));
  stats.inFlight += 1;
  if (isShared(gateway, request)) countHeld(state, request);
  forgetRefused(gateway.admission, request);
  countSend(state, { runner, stats });
  noteTrial(stats, state.now);
  request.attempts += 1;
  request.countedAttempts += 1;
  request.triedRunners.add(id);
  request.unreachedRunners.delete(id);
  request.parallelAttempt = request.currentAttempt;
  request.currentAttempt = {
    number: request.attempts,
    runner: id,
    startedUnixMs: runner.startedUnixMs,
    forwarder: forwarder?.node,
    sentAt: state.now,
    lastByteAt: state.now,
    isSent: false,
    expectation,
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
      route: request.route.name,
      ...describeSize(request),
      age: Math.round(state.now - request.arrivedAt),
      remainingMs: Math.round(request.expiresAt - state.now),
      late: Math.round(state.lateMs),
      forwarder: forwarder?.node,
      group: runner.membership?.group,
      epoch: runner.membership?.epoch,
      inFlight: stats.inFlight,
      occupancy,
      loadAge: stats.load && Math.round(state.now - stats.load.at),
      configVersion: gateway.routing?.document.version,
      resumeAfter: request.isRelaying ? request.lastEvent : undefined,
      hedges: request.parallelAttempt?.number,
    },
  };
  yield {
    kind: "send_to_runner",
    request: request.id,
    attempt: request.attempts,
    runner: id,
    address: runner.address,
    remainingMs: Math.max(1, Math.floor(request.expiresAt - state.now)),
    urgency: urgencyAtRunner(state, request),
    team: request.team,
    resumeAfter: request.lastEvent,
    isRepeatable: canRepeat(request.route),
    isStream: isStream(request.route),
    isTrial: request.isTrial,
    isHedge: request.parallelAttempt !== undefined,
    forwarder,
  };
}
