/**
 * Sends requests to runners, and queues those that wait for a free slot.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { chooseRunner, targetOf } from "./choose.ts";
import { MAX_URGENCY } from "./constants.ts";
import { workKey } from "./roster.ts";
import { isStream, mayRepeat } from "./routes.ts";
import type { Delivery, Gateway } from "./types.ts";

/** Queues a request until a slot is free. */
export function joinQueue(gateway: Gateway, delivery: Delivery): void {
  delivery.waiting = true;
  const key = workKey(delivery);
  const queue = gateway.waiting.get(key) ?? new Set();
  queue.add(delivery.request);
  gateway.waiting.set(key, queue);
}

/** Removes a request from its queue. */
export function leaveQueue(gateway: Gateway, delivery: Delivery): void {
  if (!delivery.waiting) return;
  delivery.waiting = false;
  gateway.waiting.get(workKey(delivery))?.delete(delivery.request);
}

/** Orders requests by priority, the most urgent first, then by age, the oldest first. */
function byUrgency(left: Delivery, right: Delivery): number {
  return left.priority - right.priority ||
    left.arrivedAt - right.arrivedAt;
}

/** Sends waiting requests in order of priority and age while slots are free. */
export function* serveWaiting(
  state: State,
  gateway: Gateway,
  key: string,
): Effects {
  const queue = gateway.waiting.get(key);
  if (queue === undefined || queue.size === 0) return;
  const deliveries = [...queue].flatMap((request) =>
    gateway.deliveries.get(request) ?? []
  );
  deliveries.sort(byUrgency);
  for (const delivery of deliveries) {
    const runner = chooseRunner(state, gateway, delivery, {
      resumed: delivery.mayHaveRun,
    });
    if (runner === undefined) continue;
    leaveQueue(gateway, delivery);
    yield* sendTo(state, gateway, { delivery, runner: runner.id });
  }
}

/** Sends a request to a runner. */
export function* sendTo(
  state: State,
  gateway: Gateway,
  { delivery, runner: id }: { delivery: Delivery; runner: string },
): Effects {
  const runner = gateway.runners.get(id)!;
  const target = targetOf(gateway, id);
  target.inFlight += 1;
  delivery.tries += 1;
  delivery.sends += 1;
  delivery.tried.add(id);
  delivery.current = {
    number: delivery.tries,
    runner: id,
    sentAt: state.now,
    heardAt: state.now,
    answered: false,
    isStreaming: false,
  };
  yield {
    kind: "log",
    event: "request_sent",
    fields: {
      request: delivery.request,
      try: delivery.tries,
      runner: id,
      group: runner.membership?.group,
      epoch: runner.membership?.epoch,
      inFlight: target.inFlight,
      loadAge: target.load && Math.round(state.now - target.load.at),
      configVersion: gateway.routing?.document.version,
      resumeAfter: delivery.relaying ? delivery.lastEvent : undefined,
    },
  };
  yield {
    kind: "try_runner",
    request: delivery.request,
    attempt: delivery.tries,
    runner: id,
    address: runner.address,
    remainingMs: Math.max(1, Math.floor(delivery.expiresAt - state.now)),
    urgency: Math.min(MAX_URGENCY, delivery.priority),
    team: delivery.team,
    resumeAfter: delivery.lastEvent,
    isRepeatable: mayRepeat(delivery.route),
    isStream: isStream(delivery.route),
  };
}
