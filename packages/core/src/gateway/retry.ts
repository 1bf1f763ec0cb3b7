/**
 * Decides after each failed attempt whether the request is sent again, within a retry budget that all daemons share.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import { verdictOf } from "../verdict/verdict_table.ts";
import { chooseRunner, targetOf } from "./choose.ts";
import {
  AVOID_MS,
  LEAST_SEND_MS,
  MAX_AVOID_MS,
  RETRY_AFTER_MS,
  RETRY_SHARERS,
} from "./constants.ts";
import { endDelivery, giveUp, logEnd, releaseTry } from "./finish.ts";
import {
  createRetryBudget,
  type RetryBudget,
  type RetryLimits,
  takeRepeat,
} from "./retry_budget.ts";
import { mayRepeat } from "./routes.ts";
import { sendTo } from "./send.ts";
import type { Delivery, Gateway } from "./types.ts";

/** A failed attempt of a request. */
export interface Failure {
  delivery: Delivery;
  outcome: Outcome;
  /** True where the runner's own error response may be relayed to the caller. */
  relayable: boolean;
}

/** Handles a failed attempt: sends the request to another runner, relays the runner's error response, or fails it. */
export function* failTry(
  state: State,
  gateway: Gateway,
  { delivery, outcome, relayable }: Failure,
): Effects {
  const { runner, number: attempt } = delivery.current!;
  const target = targetOf(gateway, runner);
  const verdict = verdictOf(outcome);
  noteFailure(state, gateway, { runner, outcome, relayable });
  if (verdict !== "not_run") delivery.mayHaveRun = true;
  if (outcome === "connect_refused" || outcome === "reset_before_send") {
    delivery.sends -= 1;
  }
  yield {
    kind: "log",
    event: "attempt_failed",
    fields: {
      request: delivery.request,
      try: attempt,
      runner,
      outcome,
      verdict,
      lastEvent: delivery.lastEvent,
      inFlight: target.inFlight,
    },
  };
  const next = nextRunner(state, gateway, { delivery, outcome });
  releaseTry(gateway, delivery);
  if (next !== undefined) {
    return yield* sendTo(state, gateway, { delivery, runner: next });
  }
  if (relayable && !delivery.relaying) {
    yield logEnd(state, delivery, { runner, verdict, outcome });
    yield { kind: "relay", request: delivery.request, attempt };
    yield { kind: "finish", request: delivery.request };
    return yield* endDelivery(state, gateway, delivery);
  }
  yield* giveUp(state, gateway, delivery, {
    code: delivery.mayHaveRun ? "backend_failed" : "overloaded",
    message: `The last runner failed: ${outcome}`,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function noteFailure(
  state: State,
  gateway: Gateway,
  { runner, outcome, relayable }: {
    runner: string;
    outcome: Outcome;
    relayable: boolean;
  },
): void {
  if (relayable || outcome === "cancelled") return;
  const target = targetOf(gateway, runner);
  target.failures += 1;
  const pause = AVOID_MS * 2 ** (target.failures - 1);
  target.avoidUntil = state.now + Math.min(MAX_AVOID_MS, pause);
}

/** Returns the runner for another attempt; undefined where the request may not or cannot be sent again. */
function nextRunner(
  state: State,
  gateway: Gateway,
  { delivery, outcome }: { delivery: Delivery; outcome: Outcome },
): string | undefined {
  const { route } = delivery;
  const left = delivery.expiresAt - state.now;
  if (delivery.mayHaveRun && !mayRepeat(route)) return undefined;
  if (delivery.sends >= route.maxAttempts) return undefined;
  if (left < LEAST_SEND_MS) return undefined;
  const runner = chooseRunner(state, gateway, delivery, { resumed: true });
  if (runner === undefined) return undefined;
  if (outcome !== "connect_refused" && outcome !== "reset_before_send") {
    const budget = budgetOf(gateway, delivery.service);
    if (!takeRepeat(budget, state.now, limitsOf(gateway))) return undefined;
  }
  return runner.id;
}

/** Returns the retry budget of a service. */
export function budgetOf(gateway: Gateway, service: string): RetryBudget {
  let budget = gateway.retryBudgets.get(service);
  if (budget === undefined) {
    budget = createRetryBudget();
    gateway.retryBudgets.set(service, budget);
  }
  return budget;
}

/** Returns this daemon's share of the common retry budget. */
export function limitsOf({ settings, workShare }: Gateway): RetryLimits {
  return {
    windowMs: settings.retryWindowMs,
    ratio: settings.retryRatio,
    slack: settings.retrySlack * Math.min(workShare.value, 1 / RETRY_SHARERS),
  };
}
