/**
 * Handles the responses of runners: headers, stream events, ends and failures.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { targetOf } from "./choose.ts";
import { noteLoad } from "./occupancy.ts";
import { endDelivery, logEnd } from "./finish.ts";
import { failTry } from "./retry.ts";
import { isStream } from "./routes.ts";
import type { Delivery, Gateway } from "./types.ts";

function currentTry(
  gateway: Gateway,
  { request, attempt }: { request: string; attempt: number },
): Delivery | undefined {
  const delivery = gateway.deliveries.get(request);
  return delivery?.current?.number === attempt ? delivery : undefined;
}

/** Handles the headers of a runner's response. */
export function* beginReply(
  state: State,
  event: EventOf<"reply_began">,
): Effects {
  const gateway = state.gateway!;
  const delivery = currentTry(gateway, event);
  if (delivery === undefined) return;
  const current = delivery.current!;
  const target = targetOf(gateway, current.runner);
  current.answered = true;
  current.heardAt = state.now;
  target.heardAt = state.now;
  if (event.load !== undefined) {
    target.load = { ...event.load, at: state.now, own: target.inFlight };
    const runner = gateway.runners.get(current.runner);
    if (runner !== undefined) noteLoad(gateway, runner, target.load);
  }
  if (!isStream(delivery.route) || event.verdict !== "ran") return;
  target.failures = 0;
  target.streaming += 1;
  current.isStreaming = true;
  if (delivery.relaying) return;
  delivery.mayHaveRun = true;
  delivery.relaying = true;
  yield { kind: "relay", request: delivery.request, attempt: event.attempt };
}

/** Handles whole events of a stream that were relayed to the caller. */
export function* passEvents(
  state: State,
  event: EventOf<"reply_progressed">,
): Effects {
  const gateway = state.gateway!;
  const delivery = currentTry(gateway, event);
  if (delivery === undefined) return;
  delivery.current!.heardAt = state.now;
  targetOf(gateway, delivery.current!.runner).heardAt = state.now;
  delivery.lastEvent = event.lastEvent ?? delivery.lastEvent;
  if (delivery.hasEvents) return;
  delivery.hasEvents = true;
  const { priority, arrivedAt } = delivery;
  yield { kind: "first_event", priority, ms: state.now - arrivedAt };
}

/** Handles the end of a complete response. */
export function* endReply(
  state: State,
  event: EventOf<"reply_ended">,
): Effects {
  const gateway = state.gateway!;
  const delivery = currentTry(gateway, event);
  if (delivery === undefined) return;
  const { runner } = delivery.current!;
  const target = targetOf(gateway, runner);
  const { status } = event;
  if (event.verdict !== "ran") {
    const outcome = event.verdict === "not_run"
      ? "status_not_run"
      : "status_error";
    return yield* failTry(state, gateway, {
      delivery,
      outcome,
      relayable: event.relayable,
    });
  }
  target.failures = 0;
  yield logEnd(state, delivery, { status, runner, verdict: "ran" });
  if (!delivery.relaying) {
    yield { kind: "relay", request: delivery.request, attempt: event.attempt };
  }
  yield { kind: "finish", request: delivery.request };
  yield* endDelivery(state, gateway, delivery);
}

/** Handles an attempt that ended without a complete response. */
export function* failReply(
  state: State,
  event: EventOf<"reply_failed">,
): Effects {
  const gateway = state.gateway!;
  const delivery = currentTry(gateway, event);
  if (delivery === undefined) return;
  yield* failTry(state, gateway, {
    delivery,
    outcome: event.outcome,
    relayable: false,
  });
}
