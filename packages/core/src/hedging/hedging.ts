/**
 * Decides when a slow request is sent a second time.
 *
 * A second copy helps where one runner is slow and others are idle. It harms where all are slow, so nothing is hedged
 * while requests wait, while little capacity is idle, or while many requests of the same kind are slow.
 *
 * @module
 */
import { chooseDestination, type Destination } from "../gateway/choose.ts";
import { hasTime } from "../gateway/time_left.ts";
import { occupancyOf } from "../gateway/occupancy.ts";
import { retryBudgetOf, retryLimitsOf } from "../gateway/retry_allowance.ts";
import { retriesLeft, takeRetry } from "../gateway/retry_budget.ts";
import { canRepeat } from "../gateway/routes.ts";
import { candidatesFor, workKey } from "../gateway/runner_index.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import { sendToRunner } from "../gateway/send.ts";
import type { Gateway, RoutedRequest } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { tupleKey } from "../util/tuple_key.ts";
import { earnHedge, hasHedge } from "./allowance.ts";
import {
  MAX_OCCUPIED_SHARE,
  MAX_SLOW_SHARE,
  MIN_SLOW_REQUESTS,
  RESERVED_RETRIES,
} from "./constants.ts";
import { createObservedTimes, delayOf, observeTime } from "./observed_times.ts";
import type {
  HedgeAllowance,
  HedgeDenial,
  HedgingState,
  ObservedTimes,
} from "./types.ts";

/** Creates the state of hedged requests. */
export function createHedgingState(): HedgingState {
  return { observed: new Map(), allowances: new Map() };
}

function allowanceOf(gateway: Gateway, service: string): HedgeAllowance {
  const { allowances } = gateway.hedging;
  const allowance = allowances.get(service) ?? { left: 0 };
  allowances.set(service, allowance);
  return allowance;
}

/** Prompts of the routes of one model differ in length, and so do their times. */
function observedOf(
  { gateway, now }: State,
  { service, model, route }: RoutedRequest,
): ObservedTimes {
  const { observed } = gateway!.hedging;
  const key = tupleKey(service, model, route.name);
  const times = observed.get(key) ?? createObservedTimes(now);
  observed.set(key, times);
  return times;
}

/** Counts a request that arrived, which earns a part of a hedged one. */
export function countHedgeableRequest(
  gateway: Gateway,
  { service }: RoutedRequest,
): void {
  const { hedging } = gateway.settings;
  if (hedging !== undefined) earnHedge(allowanceOf(gateway, service), hedging);
}

/** Observes the time to the first event of a stream, or to another response as a whole. */
export function recordFirstResponse(
  state: State,
  request: RoutedRequest,
): void {
  if (state.gateway!.settings.hedging === undefined) return;
  const ms = state.now - request.currentAttempt!.sentAt;
  observeTime(observedOf(state, request), ms, { now: state.now });
}

/** Hedges a request that is slower than the configured percentile, where that can help and the limits allow it. */
export function* tryHedge(state: State, request: RoutedRequest): Effects {
  const { hedging } = state.gateway!.settings;
  if (hedging === undefined || request.currentAttempt === undefined) return;
  const isPending = request.parallelAttempt === undefined &&
    !request.isRelaying && !request.isHedgeDecided;
  if (!isPending) return;
  const delayMs = delayOf(observedOf(state, request), {
    percentile: hedging.percentile,
    now: state.now,
  });
  if (delayMs === undefined) return;
  if (state.now - request.currentAttempt.sentAt < delayMs) return;
  const found = findDestination(state, request, { delayMs });
  if (typeof found === "string") {
    return yield* denyHedge(state, request, { cause: found, delayMs });
  }
  yield* sendHedge(state, request, { destination: found, delayMs });
}

function* sendHedge(
  state: State,
  request: RoutedRequest,
  { destination, delayMs }: { destination: Destination; delayMs: number },
): Effects {
  const gateway = state.gateway!;
  const { service } = request;
  allowanceOf(gateway, service).left -= 1;
  takeRetry(retryBudgetOf(gateway, service), state.now, retryLimitsOf(gateway));
  yield {
    kind: "log",
    event: "request_hedged",
    fields: {
      request: request.id,
      runner: request.currentAttempt!.runner,
      delayMs: Math.round(delayMs),
      left: Number(allowanceOf(gateway, service).left.toFixed(2)),
    },
  };
  yield* sendToRunner(state, gateway, { request, ...destination });
}

function* denyHedge(
  state: State,
  request: RoutedRequest,
  { cause, delayMs }: { cause: HedgeDenial; delayMs: number },
): Effects {
  // One decision for each request bounds the log; a later one would come too late to help.
  request.isHedgeDecided = true;
  const { service } = request;
  yield {
    kind: "log",
    event: "hedge_denied",
    fields: {
      request: request.id,
      cause,
      delayMs: Math.round(delayMs),
      left: Number(allowanceOf(state.gateway!, service).left.toFixed(2)),
    },
  };
}

type Check = (
  state: State,
  request: RoutedRequest,
  options: { delayMs: number },
) => boolean;

/** Tell in order whether each cause keeps a request from being hedged. */
const DENIALS: readonly [HedgeDenial, Check][] = [
  ["not_eligible", (_state, request) => !isEligible(request)],
  ["no_attempt_left", (state, request) => !hasAttempt(state, request)],
  [
    "share_used",
    ({ gateway }, { service }) => !hasHedge(allowanceOf(gateway!, service)),
  ],
  ["retry_budget", (state, { service }) => !hasSpareRetry(state, service)],
  ["all_slow", isGenerallySlow],
  ["no_idle_capacity", (state, request) => !hasIdleCapacity(state, request)],
];

function findDestination(
  state: State,
  request: RoutedRequest,
  options: { delayMs: number },
): Destination | HedgeDenial {
  const denial = DENIALS.find(([, isDenied]) =>
    isDenied(state, request, options)
  );
  if (denial !== undefined) return denial[0];
  const destination = chooseDestination(state, state.gateway!, request, {
    canUseReserved: false,
  });
  return destination?.path === "direct" ? destination : "no_runner";
}

function isEligible(request: RoutedRequest): boolean {
  const { route, currentAttempt, isTrial } = request;
  const { chains, forwarder } = currentAttempt!;
  return canRepeat(route) && !isTrial && chains.size === 0 &&
    forwarder === undefined;
}

function hasAttempt(state: State, request: RoutedRequest): boolean {
  return request.countedAttempts < request.route.maxAttempts &&
    hasTime(state, request);
}

function hasSpareRetry({ gateway, now }: State, service: string): boolean {
  const left = retriesLeft(
    retryBudgetOf(gateway!, service),
    now,
    retryLimitsOf(gateway!),
  );
  return left >= 1 + RESERVED_RETRIES;
}

/** Returns whether so many requests of the same kind are slow that another runner is likely to be as slow. */
function isGenerallySlow(
  { gateway, now }: State,
  request: RoutedRequest,
  { delayMs }: { delayMs: number },
): boolean {
  let pending = 0;
  let slow = 0;
  for (const other of gateway!.requests.values()) {
    const isSame = other.service === request.service &&
      other.model === request.model && other.route === request.route;
    if (!isSame || other.currentAttempt === undefined) continue;
    pending += 1;
    const isSlow = !other.hasEvents && other.id !== request.id &&
      now - other.currentAttempt.sentAt >= delayMs;
    if (isSlow) slow += 1;
  }
  return slow >= MIN_SLOW_REQUESTS && slow > pending * MAX_SLOW_SHARE;
}

/** Returns whether no request of the same kind waits and the runners have enough free slots. */
function hasIdleCapacity(
  { gateway, now }: State,
  request: RoutedRequest,
): boolean {
  const waiting = gateway!.waitingRequests.get(workKey(request));
  if (waiting !== undefined && waiting.size > 0) return false;
  const engine = gateway!.routing?.services.get(request.service)?.engine;
  let occupied = 0;
  let slots = 0;
  for (const runner of candidatesFor(gateway!, request)) {
    const stats = runnerStatsOf(gateway!, runner.id);
    occupied += occupancyOf(gateway!, { runner, stats }, now);
    slots += engine?.slots ?? runner.slots;
  }
  return occupied <= slots * MAX_OCCUPIED_SHARE;
}
