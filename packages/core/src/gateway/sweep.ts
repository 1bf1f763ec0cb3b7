/**
 * Sweeps all requests at short intervals: ends those past their deadline or that waited too long for a slot, and moves
 * those whose runner is silent.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import {
  FIRST_EVENT_OBJECTIVES,
  LEAST_FIRST_EVENT_MS,
  RETRY_AFTER_MS,
  SLOW_ANSWER_OBJECTIVES,
  STREAM_SILENCE_MS,
  WAIT_SHARE,
} from "./constants.ts";
import { giveUp } from "./finish.ts";
import { failTry } from "./retry.ts";
import { isStream, mayRepeat } from "./routes.ts";
import { serveWaiting } from "./send.ts";
import type { Delivery, Gateway } from "./types.ts";

/** Sends waiting requests, and checks the deadline and the progress of all requests. */
export function* sweepDeliveries(state: State, gateway: Gateway): Effects {
  for (const key of gateway.waiting.keys()) {
    yield* serveWaiting(state, gateway, key);
  }
  for (const delivery of [...gateway.deliveries.values()]) {
    yield* checkDelivery(state, gateway, delivery);
  }
}

function* checkDelivery(
  state: State,
  gateway: Gateway,
  delivery: Delivery,
): Effects {
  if (state.now >= delivery.expiresAt) {
    return yield* giveUp(state, gateway, delivery, {
      code: "deadline_passed",
      message: "No answer came within the time allowed",
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  if (delivery.waiting) return yield* checkWait(state, gateway, delivery);
  if (delivery.current === undefined) return;
  const outcome = stallOf(delivery, state.now);
  if (outcome === undefined || !canMove(delivery)) return;
  yield {
    kind: "cancel",
    request: delivery.request,
    attempt: delivery.current.number,
  };
  yield* failTry(state, gateway, { delivery, outcome, relayable: false });
}

function* checkWait(
  state: State,
  gateway: Gateway,
  delivery: Delivery,
): Effects {
  const waited = state.now - delivery.arrivedAt;
  if (waited < delivery.route.targetLatencyMs * WAIT_SHARE) return;
  yield* giveUp(state, gateway, delivery, {
    code: "overloaded",
    message: "All runners are full; try again",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function canMove({ route, sends }: Delivery): boolean {
  return mayRepeat(route) && sends < route.maxAttempts;
}

/** Returns the outcome of an attempt that takes too long; undefined while it may go on. */
function stallOf(
  { route, current }: Delivery,
  now: number,
): Outcome | undefined {
  if (current === undefined) return undefined;
  const silence = now - current.heardAt;
  if (!isStream(route)) {
    const limit = route.targetLatencyMs * SLOW_ANSWER_OBJECTIVES;
    return silence > limit ? "response_timeout" : undefined;
  }
  if (current.answered) {
    return silence > STREAM_SILENCE_MS ? "body_cut_off" : undefined;
  }
  const limit = Math.max(
    LEAST_FIRST_EVENT_MS,
    route.targetLatencyMs * FIRST_EVENT_OBJECTIVES,
  );
  return silence > limit ? "response_timeout" : undefined;
}
