/**
 * Admits a caller's request: sends it to a runner, queues it, or refuses it.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { ageOf } from "./belief.ts";
import { chooseRunner } from "./choose.ts";
import {
  RETRY_AFTER_MS,
  STOP_MARGIN_MS,
  STOP_STREAMS_MS,
} from "./constants.ts";
import { giveUp } from "./finish.ts";
import { lookUp, NOT_READY, type Refusal } from "./lookup.ts";
import { isServed } from "./roster.ts";
import { budgetOf, limitsOf } from "./retry.ts";
import { countRequest } from "./retry_budget.ts";
import { isStream, pickService } from "./routes.ts";
import { joinQueue, leaveQueue, sendTo } from "./send.ts";
import type { Delivery, Gateway, Route, Team } from "./types.ts";

const STOPPING: Refusal = {
  code: "stopping",
  message: "This entry VM is stopping; another one takes the request",
  retryAfterMs: 0,
};

/** True where a request may outlast this daemon's stop. */
function outlivesStop(
  { gateway, phase, now }: State,
  route: Route,
): boolean {
  if (phase === "serving") return false;
  const { stoppingSince, settings } = gateway!;
  const elapsed = now - stoppingSince;
  if (isStream(route)) return elapsed > STOP_STREAMS_MS;
  return elapsed + route.timeoutMs > settings.graceMs - STOP_MARGIN_MS;
}

function* refuseArrival(
  request: string,
  refusal: Refusal,
  { age }: { age: number },
): Effects {
  const { code, message, retryAfterMs } = refusal;
  yield {
    kind: "log",
    event: "request_refused",
    fields: { request, code, verdict: "not_run", retryAfterMs, configAge: age },
  };
  yield {
    kind: "refuse",
    request,
    code,
    message,
    verdict: "not_run",
    retryAfterMs,
  };
}

/** Handles the arrival of a caller's request. */
export function* askDelivery(
  state: State,
  event: EventOf<"delivery_asked">,
): Effects {
  const gateway = state.gateway!;
  const { now } = state;
  const { request } = event;
  const age = Math.round(ageOf(gateway.routingBelief, now));
  const table = gateway.routing;
  if (table === undefined) {
    return yield* refuseArrival(request, NOT_READY, { age });
  }
  const found = lookUp(gateway, table, { event, now });
  if (!found.ok) return yield* refuseArrival(request, found.refusal, { age });
  if (outlivesStop(state, found.route)) {
    return yield* refuseArrival(request, STOPPING, { age });
  }
  const delivery = createDelivery(state, event, found);
  gateway.deliveries.set(request, delivery);
  countRequest(budgetOf(gateway, delivery.service), now, limitsOf(gateway));
  yield* place(state, gateway, delivery);
}

function createDelivery(
  state: State,
  event: EventOf<"delivery_asked">,
  { route, team }: { route: Route; team: Team | undefined },
): Delivery {
  const gateway = state.gateway!;
  const service = pickService(route, state.random) ?? "";
  const engine = gateway.routing?.services.get(service)?.engine;
  const timeoutMs = Math.min(event.deadlineMs ?? Infinity, route.timeoutMs);
  return {
    request: event.request,
    route,
    service,
    model: engine === undefined ? undefined : event.model ?? "",
    team: team?.name,
    priority: team?.priority ?? route.priority,
    arrivedAt: state.now,
    expiresAt: state.now + timeoutMs,
    promptTokens: event.promptTokens,
    maxOutputTokens: event.maxOutputTokens,
    sends: 0,
    tried: new Set(),
    current: undefined,
    tries: 0,
    mayHaveRun: false,
    relaying: false,
    lastEvent: event.lastEvent,
    hasEvents: false,
    waiting: false,
  };
}

/** Sends a new request to a runner, queues it, or refuses it. */
export function* place(
  state: State,
  gateway: Gateway,
  delivery: Delivery,
): Effects {
  const engine = gateway.routing?.services.get(delivery.service)?.engine;
  const tokens = delivery.promptTokens + delivery.maxOutputTokens;
  if (engine !== undefined && tokens > engine.kvTokens) {
    return yield* giveUp(state, gateway, delivery, {
      code: "no_capacity",
      message: "The request is larger than the memory of any runner",
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  const runner = chooseRunner(state, gateway, delivery, {
    resumed: delivery.mayHaveRun,
  });
  if (runner !== undefined) {
    leaveQueue(gateway, delivery);
    return yield* sendTo(state, gateway, { delivery, runner: runner.id });
  }
  if (!isServed(gateway, delivery)) {
    return yield* giveUp(state, gateway, delivery, {
      code: "no_capacity",
      message: "No runner serves this at the moment; try again",
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  joinQueue(gateway, delivery);
}
