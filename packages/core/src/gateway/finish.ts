/**
 * Ends requests with their final response and releases the runner of their current attempt.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { targetOf } from "./choose.ts";
import type { Refusal } from "./lookup.ts";
import { workKey } from "./roster.ts";
import { leaveQueue, serveWaiting } from "./send.ts";
import type { Delivery, Gateway } from "./types.ts";

/** Ends the current attempt and releases its runner's slot. */
export function releaseTry(gateway: Gateway, delivery: Delivery): void {
  const { current } = delivery;
  if (current === undefined) return;
  const target = targetOf(gateway, current.runner);
  target.inFlight -= 1;
  if (current.isStreaming) target.streaming -= 1;
  const isUnused = target.inFlight === 0 &&
    !gateway.runners.has(current.runner);
  if (isUnused) gateway.targets.delete(current.runner);
  delivery.current = undefined;
}

/** Removes a request that has its final response, and gives its slot to waiting requests. */
export function* endDelivery(
  state: State,
  gateway: Gateway,
  delivery: Delivery,
): Effects {
  releaseTry(gateway, delivery);
  leaveQueue(gateway, delivery);
  gateway.deliveries.delete(delivery.request);
  yield* serveWaiting(state, gateway, workKey(delivery));
}

/** Returns the log effect for the end of a request. */
export function logEnd(
  state: State,
  delivery: Delivery,
  fields: Record<string, string | number | undefined>,
) {
  return {
    kind: "log" as const,
    event: "request_ended" as const,
    fields: {
      request: delivery.request,
      route: delivery.route.name,
      tries: delivery.tries,
      lastEvent: delivery.lastEvent,
      tookMs: Math.round(state.now - delivery.arrivedAt),
      ...fields,
    },
  };
}

/** Ends a request without a complete response: as refused where it never ran, as failed where it may have run. */
export function* giveUp(
  state: State,
  gateway: Gateway,
  delivery: Delivery,
  refusal: Refusal,
): Effects {
  const { request, current } = delivery;
  if (current !== undefined) {
    // The runner may already have begun.
    delivery.mayHaveRun = true;
    yield { kind: "cancel", request, attempt: current.number };
  }
  const verdict = delivery.mayHaveRun ? "may_have_run" : "not_run";
  const { code, message } = refusal;
  const retryAfterMs = delivery.mayHaveRun ? undefined : refusal.retryAfterMs;
  yield logEnd(state, delivery, { verdict, code, retryAfterMs });
  yield { kind: "refuse", request, code, message, verdict, retryAfterMs };
  yield* endDelivery(state, gateway, delivery);
}

/** Handles a request whose caller closed the connection. */
export function* leaveDelivery(
  state: State,
  { request }: EventOf<"delivery_left">,
): Effects {
  const gateway = state.gateway!;
  const delivery = gateway.deliveries.get(request);
  if (delivery === undefined) return;
  if (delivery.current !== undefined) {
    yield { kind: "cancel", request, attempt: delivery.current.number };
  }
  yield logEnd(state, delivery, { code: "caller_gone" });
  yield* endDelivery(state, gateway, delivery);
}
