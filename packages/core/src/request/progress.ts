/**
 * Handles the events of a running attempt: first byte, tokens, its end, and a caller that disconnects.
 *
 * @module
 */
import { chargeAmount } from "../admission/pick.ts";
import type { EventOf } from "../event/types.ts";
import { recordSuccess } from "../health/ejection.ts";
import { correctLimits } from "../limit/limits.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { addAmount, addSample } from "../util/ewma.ts";
import { combineVerdicts, verdictOf } from "../verdict/verdict_table.ts";
import { costOfOutput } from "./arrive.ts";
import { endPrefill, releaseTarget } from "./attempt.ts";
import { dispatchPool } from "./dispatch.ts";
import { abandonRequest, finishRequest } from "./finish.ts";
import { reportProgress, reportServed } from "./held_requests.ts";
import { failAttempt, RETRY_WINDOW_MS } from "./retry.ts";
import type { Request } from "./types.ts";

const HOLD_WEIGHT = 0.02;
const OUTPUT_WEIGHT = 0.005;

/** Returns the running request of an attempt, unless a later attempt has replaced it. */
export function currentRequest(
  state: State,
  { request, attempt }: { request: string; attempt: number },
): Request | undefined {
  const found = state.requests.get(request);
  return found?.phase === "running" && found.attempt === attempt
    ? found
    : undefined;
}

/** Handles the first byte of an engine's response. */
export function handleFirstByte(
  state: State,
  event: EventOf<"attempt_accepted">,
): Effects {
  const request = currentRequest(state, event);
  if (request !== undefined) request.lastProgressAt = state.now;
  return noEffects();
}

/** Handles tokens that reached the caller. */
export function* handleProgress(
  state: State,
  event: EventOf<"attempt_progress">,
): Effects {
  const request = currentRequest(state, event);
  const pool = state.pools.get(request?.deployment ?? "");
  if (request === undefined || pool === undefined) return;
  const { rank, principal: { owner } } = request;
  if (request.firstTokenAt === undefined) {
    request.firstTokenAt = state.now;
    yield {
      kind: "observe",
      sample: {
        kind: "first_token",
        rank,
        owner,
        ms: state.now - request.arrivedAt,
      },
    };
  } else if (request.lastTokenAt !== undefined && event.tokens > 0) {
    const ms = (state.now - request.lastTokenAt) / event.tokens;
    yield {
      kind: "observe",
      sample: { kind: "between_tokens", rank, owner, ms },
    };
  }
  const target = state.targets.get(request.target ?? "");
  if (target !== undefined) endPrefill(target, request);
  yield* reportProgress(state, request);
  request.lastTokenAt = state.now;
  request.lastProgressAt = state.now;
  request.deliveredTokens += event.tokens;
  chargeUpTo(state, pool, request, {
    cost: costOfOutput(request, request.deliveredTokens),
  });
}

// Tokens beyond the prediction are charged as they arrive, so that a long response is not served at too low a cost.
function chargeUpTo(
  state: State,
  pool: Pool,
  request: Request,
  { cost }: { cost: number },
): void {
  if (cost <= request.chargedCost) return;
  chargeAmount(state, pool, { request, amount: cost - request.chargedCost });
  request.chargedCost = cost;
}

function chargeFinalCost(state: State, pool: Pool, request: Request): void {
  if (pool.deployment.kind === "service") return;
  const cost = costOfOutput(request, request.deliveredTokens);
  chargeAmount(state, pool, { request, amount: cost - request.chargedCost });
  request.chargedCost = cost;
  correctLimits(state, request, { outputTokens: request.deliveredTokens });
}

function recordCompletion(state: State, pool: Pool, request: Request): void {
  const holdMs = state.now - (request.startedAt ?? state.now);
  addSample(pool.holdMs[request.rank], holdMs, { weight: HOLD_WEIGHT });
  if (pool.deployment.kind === "model") {
    addSample(pool.outputTokens[request.rank], request.deliveredTokens, {
      weight: OUTPUT_WEIGHT,
    });
  }
}

/** Handles the end of an attempt. */
export function* handleAttemptEnd(
  state: State,
  event: EventOf<"attempt_ended">,
): Effects {
  const request = currentRequest(state, event);
  const pool = state.pools.get(request?.deployment ?? "");
  if (request === undefined || pool === undefined) return;
  request.reportedPromptTokens = event.promptTokens ??
    request.reportedPromptTokens;
  request.reportedCachedTokens = event.cachedTokens ??
    request.reportedCachedTokens;
  const target = state.targets.get(request.target ?? "");
  if (event.committed === true) request.committed = true;
  if (event.outcome === "completed") {
    yield* completeAttempt(state, { pool, request, target, event });
  } else {yield* failAttempt(state, {
      request,
      outcome: event.outcome,
      retryAfterMs: event.retryAfterMs,
    });}
  yield* dispatchPool(state, pool);
}

function* completeAttempt(
  state: State,
  { pool, request, target, event }: {
    pool: Pool;
    request: Request;
    target: Target | undefined;
    event: EventOf<"attempt_ended">;
  },
): Effects {
  if (target !== undefined) yield* recordSuccess(state, target);
  yield* reportServed(state, request);
  recordCompletion(state, pool, request);
  releaseTarget(state, request);
  chargeFinalCost(state, pool, request);
  addAmount(pool.firstAttempts, 1, {
    now: state.now,
    windowMs: RETRY_WINDOW_MS,
  });
  yield* finishRequest(state, request, { response: event.response });
}

/** Handles a caller that disconnected: cancels its attempt at the backend server and ends its request. */
export function* handleDisconnect(
  state: State,
  event: EventOf<"caller_gone">,
): Effects {
  const request = state.requests.get(event.request);
  const pool = state.pools.get(request?.deployment ?? "");
  if (request === undefined) return;
  const running = request.phase === "running";
  if (running) {
    yield {
      kind: "cancel",
      request: request.request,
      attempt: request.attempt,
    };
    if (pool !== undefined) chargeFinalCost(state, pool, request);
    releaseTarget(state, request);
  }
  const outcome = running ? "caller_gone_running" : "caller_gone_queued";
  const verdict = combineVerdicts(request.verdict, verdictOf(outcome));
  yield* abandonRequest(state, request, { verdict });
  if (pool !== undefined) yield* dispatchPool(state, pool);
}
