/**
 * Decides after each failed attempt whether the request is sent again, within a retry budget that all daemons share.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import { verdictOf } from "../verdict/verdict_table.ts";
import { chooseRunner, runnerStatsOf } from "./choose.ts";
import {
  AVOID_MS,
  MAX_AVOID_MS,
  MIN_REMAINING_MS,
  MIN_RETRY_DAEMONS,
  RETRY_AFTER_MS,
} from "./constants.ts";
import { endRequest, failRequest, logEnd, releaseAttempt } from "./finish.ts";
import {
  createRetryBudget,
  type RetryBudget,
  type RetryLimits,
  takeRetry,
} from "./retry_budget.ts";
import { canRepeat } from "./routes.ts";
import { sendToRunner } from "./send.ts";
import type { Gateway, RoutedRequest } from "./types.ts";

/** A failed attempt of a request. */
export interface FailedAttempt {
  request: RoutedRequest;
  outcome: Outcome;
  /** True where the runner's own error response may be relayed to the caller. */
  isRelayable: boolean;
}

/** Handles a failed attempt: sends the request to another runner, relays the runner's error response, or fails it. */
export function* failAttempt(
  state: State,
  gateway: Gateway,
  { request, outcome, isRelayable }: FailedAttempt,
): Effects {
  const { runner, number: attempt } = request.currentAttempt!;
  const stats = runnerStatsOf(gateway, runner);
  const verdict = verdictOf(outcome);
  recordFailure(state, gateway, { runner, outcome, isRelayable });
  if (verdict !== "not_run") request.mayHaveRun = true;
  if (outcome === "connect_refused" || outcome === "reset_before_send") {
    request.countedAttempts -= 1;
  }
  yield {
    kind: "log",
    event: "attempt_failed",
    fields: {
      request: request.id,
      try: attempt,
      runner,
      outcome,
      verdict,
      lastEvent: request.lastEvent,
      inFlight: stats.inFlight,
    },
  };
  const next = nextRunner(state, gateway, { request, outcome });
  releaseAttempt(gateway, request);
  if (next !== undefined) {
    return yield* sendToRunner(state, gateway, { request, runner: next });
  }
  if (isRelayable && !request.isRelaying) {
    yield logEnd(state, request, { runner, verdict, outcome });
    yield { kind: "relay", request: request.id, attempt };
    yield { kind: "finish", request: request.id };
    return yield* endRequest(state, gateway, request);
  }
  yield* failRequest(state, gateway, request, {
    code: request.mayHaveRun ? "backend_failed" : "overloaded",
    message: `The last runner failed: ${outcome}`,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function recordFailure(
  state: State,
  gateway: Gateway,
  { runner, outcome, isRelayable }: {
    runner: string;
    outcome: Outcome;
    isRelayable: boolean;
  },
): void {
  if (isRelayable || outcome === "cancelled") return;
  const stats = runnerStatsOf(gateway, runner);
  stats.failures += 1;
  const avoidMs = AVOID_MS * 2 ** (stats.failures - 1);
  stats.avoidUntil = state.now + Math.min(MAX_AVOID_MS, avoidMs);
}

/** Returns the runner for another attempt; undefined where the request may not or cannot be sent again. */
function nextRunner(
  state: State,
  gateway: Gateway,
  { request, outcome }: { request: RoutedRequest; outcome: Outcome },
): string | undefined {
  const { route } = request;
  const remainingMs = request.expiresAt - state.now;
  if (request.mayHaveRun && !canRepeat(route)) return undefined;
  if (request.countedAttempts >= route.maxAttempts) return undefined;
  if (remainingMs < MIN_REMAINING_MS) return undefined;
  const runner = chooseRunner(state, gateway, request, {
    canUseReserved: true,
  });
  if (runner === undefined) return undefined;
  if (outcome !== "connect_refused" && outcome !== "reset_before_send") {
    const budget = retryBudgetOf(gateway, request.service);
    if (!takeRetry(budget, state.now, retryLimitsOf(gateway))) return undefined;
  }
  return runner.id;
}

/** Returns the retry budget of a service. */
export function retryBudgetOf(gateway: Gateway, service: string): RetryBudget {
  let budget = gateway.retryBudgets.get(service);
  if (budget === undefined) {
    budget = createRetryBudget();
    gateway.retryBudgets.set(service, budget);
  }
  return budget;
}

/** Returns this daemon's share of the common retry budget. */
export function retryLimitsOf({ settings, workShare }: Gateway): RetryLimits {
  return {
    windowMs: settings.retryWindowMs,
    ratio: settings.retryRatio,
    slack: settings.retrySlack *
      Math.min(workShare.value, 1 / MIN_RETRY_DAEMONS),
  };
}
