/**
 * Admits a caller's request: sends it to a runner, queues it, or refuses it.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { allowedRegionsOf } from "../placement/regions.ts";
import { placementRefusal } from "../placement/refusal.ts";
import { countHedgeableRequest } from "../hedging/mod.ts";
import { crashSuspectsOf } from "../quarantine/mod.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { chooseDestination } from "./choose.ts";
import {
  MAX_WAIT_SHARE,
  STOP_MARGIN_MS,
  STOP_STREAMS_MS,
} from "./constants.ts";
import { describeSize } from "./describe_size.ts";
import { failRequest } from "./finish.ts";
import { ageOf } from "./freshness.ts";
import { quarantineRefusal, tryHeldPart } from "./held_requests.ts";
import { lookUp, NOT_READY, type Refusal } from "./lookup.ts";
import { capacityRetryAfter } from "./retry_after.ts";
import { retryBudgetOf, retryLimitsOf } from "./retry_allowance.ts";
import { countRequest } from "./retry_budget.ts";
import { isStream, pickService } from "./routes.ts";
import { hasCandidates } from "./runner_index.ts";
import { backoffRefusal, isHopeless } from "./runner_backoff.ts";
import { joinQueue, leaveQueue, sendToRunner } from "./send.ts";
import { admitShared } from "./shared_admission.ts";
import { isShared } from "./capacity_policy.ts";
import { hastenSweep } from "./sweep_schedule.ts";
import { hasTime, TOO_LATE } from "./time_left.ts";
import type { Gateway, Route, RoutedRequest, Team } from "./types.ts";

const STOPPING: Refusal = {
  code: "stopping",
  message: "This entry VM is stopping; try again at another one",
  retryAfterMs: 0,
};

/** True where a request may outlast this daemon's stop. */
function outlivesStop(
  { gateway, phase, now }: State,
  route: Route,
): boolean {
  if (phase === "serving") return false;
  const { stoppingSince, graceEndsAt } = gateway!;
  if (isStream(route)) return now - stoppingSince > STOP_STREAMS_MS;
  return now + route.timeoutMs > graceEndsAt - STOP_MARGIN_MS;
}

/** What a line about a refused arrival says beside the refusal. */
interface ArrivalContext {
  event: EventOf<"routed_request_arrived">;
  /** Undefined where no route was found. */
  route?: Route;
  /** Age of the configuration, ms. */
  age: number;
}

function* refuseArrival(
  refusal: Refusal,
  { event, route, age }: ArrivalContext,
): Effects {
  const { code, message, retryAfterMs } = refusal;
  const { request: id } = event;
  yield {
    kind: "log",
    event: "request_refused",
    fields: {
      request: id,
      route: route?.name,
      ...describeSize(event),
      code,
      verdict: "not_run",
      retryAfterMs,
      configAge: age,
    },
  };
  yield {
    kind: "refuse",
    request: id,
    code,
    message,
    verdict: "not_run",
    retryAfterMs,
  };
}

/** Handles the arrival of a caller's request. */
export function* admitRequest(
  state: State,
  event: EventOf<"routed_request_arrived">,
): Effects {
  const gateway = state.gateway!;
  const { now } = state;
  const { request: id } = event;
  const age = Math.round(ageOf(gateway.routingFreshness, now));
  const table = gateway.routing;
  if (table === undefined) {
    return yield* refuseArrival(NOT_READY, { event, age });
  }
  const found = lookUp(gateway, table, { event, now });
  if (!found.ok) return yield* refuseArrival(found.refusal, { event, age });
  const context = { event, route: found.route, age };
  if (outlivesStop(state, found.route)) {
    return yield* refuseArrival(STOPPING, context);
  }
  const request = createRoutedRequest(state, event, found);
  yield* tryHeldPart(state, request);
  const held = quarantineRefusal(state, request);
  if (held !== undefined) return yield* refuseArrival(held, context);
  if (!hasTime(state, request)) {
    return yield* refuseArrival(TOO_LATE, context);
  }
  gateway.requests.set(id, request);
  countHedgeableRequest(gateway, request);
  countRequest(
    retryBudgetOf(gateway, request.service),
    now,
    retryLimitsOf(gateway),
  );
  yield* sendOrQueue(state, gateway, request);
  hastenSweep(state);
}

function createRoutedRequest(
  state: State,
  event: EventOf<"routed_request_arrived">,
  { route, team }: { route: Route; team: Team | undefined },
): RoutedRequest {
  const gateway = state.gateway!;
  const service = pickService(route, state.random) ?? "";
  const engine = gateway.routing?.services.get(service)?.engine;
  const timeoutMs = Math.min(event.deadlineMs ?? Infinity, route.timeoutMs);
  return {
    id: event.request,
    route,
    service,
    model: engine === undefined ? undefined : event.model ?? "",
    team: team?.name,
    priority: team?.priority ?? route.priority,
    allowedRegions: allowedRegionsOf(route, team),
    arrivedAt: event.at,
    expiresAt: event.at + timeoutMs,
    promptTokens: event.promptTokens,
    maxOutputTokens: event.maxOutputTokens,
    expectedOutputTokens: event.expectedOutputTokens,
    promptParts: event.promptParts,
    fingerprint: event.fingerprint,
    crashSuspects: crashSuspectsOf({
      promptParts: event.promptParts,
      fingerprint: event.fingerprint,
    }),
    countedAttempts: 0,
    triedRunners: new Set(),
    unreachedRunners: new Set(),
    triedForwarders: new Set(),
    failedConnects: 0,
    currentAttempt: undefined,
    parallelAttempt: undefined,
    isHedgeDecided: false,
    attempts: 0,
    mayHaveRun: false,
    isRelaying: false,
    lastEvent: event.lastEvent,
    hasEvents: false,
    isWaiting: false,
    awaitsRetry: false,
    isTrial: false,
    waitUntil: state.now + route.targetLatencyMs * MAX_WAIT_SHARE,
  };
}

/** Sends a new request to a runner, queues it, or refuses it. */
export function* sendOrQueue(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
): Effects {
  const engine = gateway.routing?.services.get(request.service)?.engine;
  const tokens = request.promptTokens + request.maxOutputTokens;
  if (engine !== undefined && tokens > engine.kvTokens) {
    return yield* failRequest(state, gateway, request, {
      code: "no_capacity",
      message: "The request is larger than the memory of any runner",
      retryAfterMs: capacityRetryAfter(state, request),
    });
  }
  const unplaced = placementRefusal(state, request);
  if (unplaced !== undefined) {
    return yield* failRequest(state, gateway, request, unplaced);
  }
  if (isShared(gateway, request) && hasCandidates(gateway, request)) {
    return yield* admitShared(state, request);
  }
  const destination = chooseDestination(state, gateway, request, {
    canUseReserved: request.mayHaveRun,
  });
  if (destination !== undefined) {
    leaveQueue(gateway, request);
    return yield* sendToRunner(state, gateway, { request, ...destination });
  }
  if (!hasCandidates(gateway, request)) {
    return yield* failRequest(state, gateway, request, {
      code: "no_capacity",
      message: "No runner serves this at the moment; try again",
      retryAfterMs: capacityRetryAfter(state, request),
    });
  }
  if (isHopeless(state, request)) {
    return yield* failRequest(
      state,
      gateway,
      request,
      backoffRefusal(state, request),
    );
  }
  joinQueue(state, request);
}
