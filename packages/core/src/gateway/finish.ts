/**
 * Gives requests their final answer and takes them off their runners.
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

/** Takes the current try off its runner. */
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

/** Forgets a request that has its final answer, and gives its place away. */
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

/** Returns the log line of a request's end. */
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

/** Ends a request without a whole answer: refused where it never ran, failed where it may have. */
export function* giveUp(
  state: State,
  gateway: Gateway,
  delivery: Delivery,
  refusal: Refusal,
): Effects {
  const { request, current } = delivery;
  if (current !== undefined) {
    // Whether the runner has begun is not known.
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

/** Handles a caller that closed its connection. */
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
