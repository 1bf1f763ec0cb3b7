/**
 * Queues requests for services whose capacity is shared, and finds the one that is sent next.
 *
 * @module
 */
import {
  type ExpectedWait,
  expectWait,
  type RunnerRoom,
} from "../admission/expected_wait.ts";
import { findRefused } from "../admission/returns.ts";
import { isInNeed, sharesExceeded } from "../admission/shares.ts";
import type { Waiter, WaitingQueue } from "../admission/types.ts";
import { type WaitWindow, waitWindowOf } from "../admission/wait_decision.ts";
import {
  isBelowMinimum,
  levelOf,
  moveToLate,
  type NewWaiter,
  queueOf,
  waitClassOf,
  waitersAhead,
  waitersInOrder,
} from "../admission/waiting_queue.ts";
import { mayUse } from "../placement/may_use.ts";
import type { State } from "../state/types.ts";
import { tupleKey } from "../util/tuple_key.ts";
import { chooseDestination, type Destination } from "./choose.ts";
import {
  BACKOFF_TRIAL_MS,
  LATE_RESERVED_SLOTS,
  OVER_SHARE_RESERVED_SLOTS,
  QUEUE_SLACK_SHARE,
  RESERVED_SLOTS,
  SHARES,
  URGENT_QUEUE_REQUESTS,
} from "./constants.ts";
import {
  costOf,
  firstEventMsOf,
  holdingMsOf,
  readingMsOf,
} from "./engine_pace.ts";
import { quarantineRefusal } from "./held_requests.ts";
import { occupancyOf } from "./occupancy.ts";
import { isStream } from "./routes.ts";
import { candidatesFor, slotsOf, workKey } from "./runner_index.ts";
import { runnerStatsOf } from "./runner_stats.ts";
import { levelsOfService, urgencyStepOf } from "./service_levels.ts";
import type { Gateway, RoutedRequest, RunnerStats } from "./types.ts";

/** Returns the queue of a request's kind of work. */
export function sharedQueueOf(
  { gateway, now }: State,
  request: RoutedRequest,
): WaitingQueue {
  return queueOf(gateway!.admission, workKey(request), { now });
}

/** Describes a request as one that waits. */
export function describeWaiter(
  { gateway, now }: State,
  request: RoutedRequest,
): NewWaiter {
  return {
    request: request.id,
    priority: request.priority,
    path: [request.route.name, request.team ?? ""],
    cost: costOf(gateway!, request),
    since: now,
    isLate: false,
  };
}

/** Returns the times until which sending a request is of use to its caller. */
export function windowOf(state: State, request: RoutedRequest): WaitWindow {
  const { route, expiresAt } = request;
  const { admission } = state.gateway!;
  const earlier = findRefused(admission, request, { now: state.now });
  const arrivedAt = earlier?.arrivedAt ?? request.arrivedAt;
  const queue = sharedQueueOf(state, request);
  return waitWindowOf({
    arrivedAt,
    expiresAt,
    objectiveMs: route.targetLatencyMs,
    leastServiceMs: readingMsOf(state.gateway!, request),
    serviceMs: firstEventMsOf(state.gateway!, queue, request),
    isStream: isStream(route),
  });
}

/** Returns how many shares a request exceeds while others need room: that of its route, and that of its team. */
export function exceededShares(
  { gateway, now }: State,
  request: RoutedRequest,
  waiter: Pick<Waiter, "path" | "cost">,
): number {
  const { admission } = gateway!;
  const queue = queueOf(admission, workKey(request), { now });
  const level = levelOf(queue, request.priority, { now });
  const { routes } = levelsOfService(gateway!, request.service);
  const { path, cost } = waiter;
  return sharesExceeded(admission, level, {
    path,
    cost,
    options: { routes, now },
  });
}

/**
 * Returns how many requests beyond its slots a runner may have when a request is sent there.
 *
 * Daemons learn late of slots that others leave, so that a short queue at the runner uses these; it must not take more
 * than a part of the request's slack.
 */
function queueAllowanceOf(state: State, request: RoutedRequest): number {
  const gateway = state.gateway!;
  const queue = sharedQueueOf(state, request);
  const slots = gateway.routing!.services.get(request.service)!.engine!.slots;
  const { inTimeUntil } = windowOf(state, request);
  const slackMs = Math.max(0, inTimeUntil - state.now) * QUEUE_SLACK_SHARE;
  const perPlaceMs = holdingMsOf(gateway, queue, request) / slots;
  return Math.min(URGENT_QUEUE_REQUESTS, slackMs / perPlaceMs);
}

/** Returns the slots that a request leaves free at a runner; negative where it may queue there. */
export function reservedSlotsOf(
  state: State,
  request: RoutedRequest,
  waiter: Pick<Waiter, "path" | "cost" | "isLate">,
): number {
  const gateway = state.gateway!;
  const queue = sharedQueueOf(state, request);
  const level = levelOf(queue, request.priority, { now: state.now });
  const levels = levelsOfService(gateway, request.service);
  const step = urgencyStepOf(levels, request.priority);
  const exceeded = exceededShares(state, request, waiter);
  const isBelow = isBelowMinimum(queue, level);
  if (exceeded === 0 && !waiter.isLate) {
    if (step === 0) return -queueAllowanceOf(state, request);
    if (isBelow) return 0;
  }
  // A less urgent request finds no more room than a more urgent one that exceeds its shares.
  const yieldsTo = queue.levels.some((other) =>
    other.priority < request.priority && isInNeed(other, { now: state.now })
  );
  const shares = yieldsTo && !isBelow ? SHARES : exceeded;
  return step * RESERVED_SLOTS + shares * OVER_SHARE_RESERVED_SLOTS +
    (waiter.isLate ? LATE_RESERVED_SLOTS : 0);
}

/** Returns the time until a runner takes requests again, ms; 0 where it takes them now. */
function opensInMs(stats: RunnerStats, now: number): number {
  const { backoff, requestsPerSecond, nextSendAt, avoidUntil } = stats;
  const openAt = Math.max(
    avoidUntil,
    requestsPerSecond === undefined ? -Infinity : nextSendAt,
    backoff?.until ?? -Infinity,
    (backoff?.triedAt ?? -Infinity) + BACKOFF_TRIAL_MS,
  );
  return Math.max(0, openAt - now);
}

/** Estimates the wait of a request for a free slot. */
export function expectedWaitOf(
  state: State,
  request: RoutedRequest,
  waiter: Waiter,
): ExpectedWait {
  const gateway = state.gateway!;
  const { now } = state;
  const queue = sharedQueueOf(state, request);
  const reserved = reservedSlotsOf(state, request, waiter);
  const rooms: RunnerRoom[] = [];
  let own = 0;
  let total = 0;
  for (const runner of candidatesFor(gateway, request)) {
    if (!mayUse(state, request, runner)) continue;
    const stats = runnerStatsOf(gateway, runner.id);
    const occupancy = occupancyOf(gateway, { runner, stats }, now);
    own += stats.inFlight;
    total += occupancy;
    if (request.triedRunners.has(runner.id)) continue;
    const slots = slotsOf(gateway, runner);
    const usableSlots = slots - reserved;
    const opens = opensInMs(stats, now);
    rooms.push({ occupancy, slots, usableSlots, opensInMs: opens });
  }
  return expectWait({
    rooms,
    holdingMs: holdingMsOf(gateway, queue, request),
    share: Math.max(gateway.workShare.value, total > 0 ? own / total : 0),
    ahead: waitersAhead(queue, waiter),
    ratio: queue.waitRatios[waitClassOf(waiter)].value,
  });
}

/** A waiting request that can be sent. */
export interface Start {
  request: RoutedRequest;
  waiter: Waiter;
  destination: Destination;
  /** True where it goes before more urgent ones, as its priority has had less than its minimum share. */
  usesMinimum: boolean;
}

/** Returns a key that requests share which are sent to the same runners under the same conditions. */
function placementKey(
  { settings }: Gateway,
  { path: [route, team] }: Waiter,
  reserved: number,
): string {
  const hasRegions = Object.keys(settings.regions).length > 0;
  return hasRegions
    ? tupleKey(String(reserved), route, team)
    : String(reserved);
}

/** Options of {@link findStart}. */
export interface StartOptions {
  /** Placements that have no free slot; extended by those that turn out to have none. */
  blocked: Set<string>;
}

/** Returns the next request in order that can be sent, and moves those that have become late behind the others. */
export function findStart(
  state: State,
  key: string,
  options: StartOptions,
): Start | undefined {
  let found = scanQueue(state, key, options);
  while (found === "reordered") found = scanQueue(state, key, options);
  return found;
}

function scanQueue(
  state: State,
  key: string,
  { blocked }: StartOptions,
): Start | "reordered" | undefined {
  const gateway = state.gateway!;
  const queue = queueOf(gateway.admission, key, { now: state.now });
  for (const waiter of waitersInOrder(queue)) {
    const request = gateway.requests.get(waiter.request)!;
    if (!waiter.isLate && state.now > windowOf(state, request).inTimeUntil) {
      moveToLate(queue, waiter, { now: state.now });
      return "reordered";
    }
    if (quarantineRefusal(state, request) !== undefined) continue;
    const reservedSlots = reservedSlotsOf(state, request, waiter);
    const placement = placementKey(gateway, waiter, reservedSlots);
    if (blocked.has(placement)) continue;
    const destination = chooseDestination(state, gateway, request, {
      canUseReserved: false,
      reservedSlots,
    });
    if (destination === undefined) {
      // Others may go to the runners that turned this one away.
      if (!waiter.isReturned) blocked.add(placement);
      continue;
    }
    const level = levelOf(queue, waiter.priority, { now: state.now });
    const usesMinimum = !waiter.isLate && isBelowMinimum(queue, level);
    return { request, waiter, destination, usesMinimum };
  }
  return undefined;
}
