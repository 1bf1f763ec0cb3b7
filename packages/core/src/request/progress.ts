/**
 * Follows attempts: tokens, ends, failures, retries and resumption.
 *
 * @module
 */
import { chargeAmount } from "../admission/pick.ts";
import type { RefusalCode } from "../effect/types.ts";
import type { EventOf } from "../event/types.ts";
import { noteFailure, noteSuccess } from "../health/ejection.ts";
import { correctLimits } from "../limit/limits.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { addAmount, addSample, decayRate } from "../util/ewma.ts";
import { nextFloat } from "../util/random.ts";
import { schedule } from "../util/timer_queue.ts";
import type { Outcome } from "../verdict/types.ts";
import { combineVerdicts, verdictOf } from "../verdict/verdict_table.ts";
import { abandonRequest, finishRequest, refuseRequest } from "./answer.ts";
import { costOfOutput } from "./arrive.ts";
import { releaseTarget } from "./attempt.ts";
import { dispatchPool, enqueueRequest, scheduleStall } from "./dispatch.ts";
import { advance } from "./machine.ts";
import type { Request } from "./types.ts";

const HOLD_WEIGHT = 0.02;
const OUTPUT_WEIGHT = 0.005;
/** Time constant of the retry budget. */
const RETRY_WINDOW_MS = 10_000;
/** Retries allowed in a window whatever the share says, so that a quiet entry can retry at all. */
const MIN_RETRIES = 3;
const RETRY_BASE_MS = 20;
const RETRY_MAX_MS = 500;

function currentRequest(
  state: State,
  { request, attempt }: { request: string; attempt: number },
): Request | undefined {
  const found = state.requests.get(request);
  return found?.phase === "running" && found.attempt === attempt
    ? found
    : undefined;
}

/** Handles an engine's first answer byte. */
export function acceptAttempt(
  state: State,
  event: EventOf<"attempt_accepted">,
): Effects {
  const request = currentRequest(state, event);
  if (request !== undefined) request.lastProgressAt = state.now;
  return noEffects();
}

/** Handles tokens that reached the caller. */
export function* progressAttempt(
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
      measure: {
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
      measure: { kind: "between_tokens", rank, owner, ms },
    };
  }
  request.lastTokenAt = state.now;
  request.lastProgressAt = state.now;
  request.delivered += event.tokens;
  chargeUpTo(state, pool, request, {
    cost: costOfOutput(request, request.delivered),
  });
}

// Tokens beyond the prediction are charged as they come, so a long answer cannot hide behind a low guess.
function chargeUpTo(
  state: State,
  pool: Pool,
  request: Request,
  { cost }: { cost: number },
): void {
  if (cost <= request.charged) return;
  chargeAmount(state, pool, { request, amount: cost - request.charged });
  request.charged = cost;
}

function settleCost(state: State, pool: Pool, request: Request): void {
  if (pool.deployment.kind === "service") return;
  const cost = costOfOutput(request, request.delivered);
  chargeAmount(state, pool, { request, amount: cost - request.charged });
  request.charged = cost;
  correctLimits(state, request, { outputTokens: request.delivered });
}

function learnFrom(state: State, pool: Pool, request: Request): void {
  const heldMs = state.now - (request.startedAt ?? state.now);
  addSample(pool.holdMs[request.rank], heldMs, { weight: HOLD_WEIGHT });
  if (pool.deployment.kind === "model") {
    addSample(pool.outputTokens[request.rank], request.delivered, {
      weight: OUTPUT_WEIGHT,
    });
  }
}

/** Handles the end of an attempt. */
export function* endAttempt(
  state: State,
  event: EventOf<"attempt_ended">,
): Effects {
  const request = currentRequest(state, event);
  const pool = state.pools.get(request?.deployment ?? "");
  if (request === undefined || pool === undefined) return;
  request.promptTokensSeen = event.promptTokens ?? request.promptTokensSeen;
  request.cachedTokensSeen = event.cachedTokens ?? request.cachedTokensSeen;
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
  if (target !== undefined) yield* noteSuccess(state, target);
  learnFrom(state, pool, request);
  releaseTarget(state, request);
  settleCost(state, pool, request);
  addAmount(pool.firstTries, 1, { now: state.now, windowMs: RETRY_WINDOW_MS });
  yield* finishRequest(state, request, { answer: event.answer });
}

/** Outcomes that say nothing against the target. */
const BLAMELESS_OUTCOMES: ReadonlySet<Outcome> = new Set([
  "status_not_run",
  "cancelled",
]);

/** Ends a request's attempt with a failure, and retries, resumes or refuses by its verdict. */
export function* failAttempt(
  state: State,
  { request, outcome, retryAfterMs }: {
    request: Request;
    outcome: Outcome;
    retryAfterMs?: number | undefined;
  },
): Effects {
  const pool = state.pools.get(request.deployment);
  if (pool === undefined) return;
  const target = state.targets.get(request.target ?? "");
  request.failures += 1;
  request.verdict = combineVerdicts(request.verdict, verdictOf(outcome));
  yield {
    kind: "log",
    event: "attempt_failed",
    fields: {
      request: request.request,
      target: request.target,
      outcome,
      attempt: request.attempt,
    },
  };
  if (request.target !== undefined) request.avoid.push(request.target);
  releaseTarget(state, request);
  if (target !== undefined && !BLAMELESS_OUTCOMES.has(outcome)) {
    yield* noteFailure(state, target);
  }
  const obstacle = retryObstacle(state, pool, request);
  if (obstacle !== undefined) {
    return yield* giveUp(state, request, { outcome, obstacle, retryAfterMs });
  }
  addAmount(pool.retries, 1, { now: state.now, windowMs: RETRY_WINDOW_MS });
  advance(request, "back_off");
  const ceiling = Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** request.failures);
  const pauseMs = request.delivered > 0 ? 0 : nextFloat(state.random) * ceiling;
  if (request.delivered > 0) {
    yield {
      kind: "log",
      event: "stream_resumed",
      fields: { request: request.request, tokens: request.delivered },
    };
  }
  schedule(state.timers, state.now + pauseMs, {
    timer: { kind: "request_retry", request: request.request },
  });
}

type Obstacle =
  | "committed"
  | "not_idempotent"
  | "attempts_spent"
  | "budget_spent"
  | "deadline_passed";

function retryObstacle(
  state: State,
  pool: Pool,
  request: Request,
): Obstacle | undefined {
  const policy = state.config?.config.policy;
  if (request.committed) return "committed";
  if (!request.idempotent && request.verdict !== "not_run") {
    return "not_idempotent";
  }
  if (request.failures >= (policy?.maxAttempts ?? 1)) return "attempts_spent";
  if (state.now >= request.deadlineAt) return "deadline_passed";
  if (request.delivered > 0) return undefined;
  const options = { now: state.now, windowMs: RETRY_WINDOW_MS };
  const retries = decayRate(pool.retries, options) * RETRY_WINDOW_MS;
  const tries = decayRate(pool.firstTries, options) * RETRY_WINDOW_MS;
  const budget = Math.max(MIN_RETRIES, tries * (policy?.retryShare ?? 0));
  return retries < budget ? undefined : "budget_spent";
}

const OBSTACLE_TEXTS: Readonly<Record<Obstacle, string>> = {
  committed: "part of the answer was already passed on",
  not_idempotent: "the request is not idempotent",
  attempts_spent: "all attempts are spent",
  budget_spent: "the retry budget is spent",
  deadline_passed: "the deadline has passed",
};

function* giveUp(
  state: State,
  request: Request,
  { outcome, obstacle, retryAfterMs }: {
    outcome: Outcome;
    obstacle: Obstacle;
    retryAfterMs: number | undefined;
  },
): Effects {
  const code: RefusalCode = request.delivered > 0
    ? "stream_lost"
    : "backend_failed";
  const message = `Cannot finish the request: ${outcome}; not retried because ${
    OBSTACLE_TEXTS[obstacle]
  }`;
  if (code === "stream_lost") {
    yield {
      kind: "log",
      event: "stream_lost",
      fields: { request: request.request, outcome },
    };
  }
  const comeBack = retryAfterMs !== undefined ? { retryAfterMs } : {};
  yield* refuseRequest(state, request, {
    refusal: { code, message, verdict: request.verdict, ...comeBack },
  });
}

/** Puts a request back into its queue after its pause. */
export function* retryRequest(
  state: State,
  { request: id }: { request: string },
): Effects {
  const request = state.requests.get(id);
  const pool = state.pools.get(request?.deployment ?? "");
  if (request?.phase !== "backoff" || pool === undefined) return;
  if (pool.targets.size <= request.avoid.length) request.avoid.length = 0;
  request.startBy = request.deadlineAt;
  yield* enqueueRequest(state, pool, request);
}

/** Fails over a stream that has stood still for too long. */
export function* checkStall(
  state: State,
  timer: { request: string; attempt: number },
): Effects {
  const request = currentRequest(state, timer);
  if (request === undefined) return;
  const stallMs = state.config?.config.policy.stallMs ?? 0;
  const target = state.targets.get(request.target ?? "");
  const waitsForFirst = request.firstTokenAt === undefined &&
    target?.phase === "serving";
  const patienceMs = waitsForFirst ? stallMs * FIRST_TOKEN_PATIENCE : stallMs;
  if (state.now - request.lastProgressAt < patienceMs) {
    return scheduleStallAgain(state, request);
  }
  yield* failOver(state, request, { outcome: "response_timeout" });
}

/** A first token may take this many stall times while its group is otherwise well. */
const FIRST_TOKEN_PATIENCE = 5;

function scheduleStallAgain(state: State, request: Request): void {
  const stallMs = state.config?.config.policy.stallMs ?? 0;
  const next = {
    ...request,
    lastProgressAt: Math.max(request.lastProgressAt, state.now - stallMs / 2),
  };
  scheduleStall(state, next);
}

/** Cancels a running attempt and treats it as failed. */
export function* failOver(
  state: State,
  request: Request,
  { outcome }: { outcome: Outcome },
): Effects {
  if (request.phase !== "running") return;
  const pool = state.pools.get(request.deployment);
  yield { kind: "cancel", request: request.request, attempt: request.attempt };
  yield* failAttempt(state, { request, outcome });
  if (pool !== undefined) yield* dispatchPool(state, pool);
}

/** Ends what is still waiting at its deadline, or past the time at which a start would still help. */
export function* expireRequest(
  state: State,
  { request: id }: { request: string },
): Effects {
  const request = state.requests.get(id);
  if (request === undefined || request.phase === "done") return;
  const due = request.phase === "queued"
    ? Math.min(request.startBy, request.deadlineAt)
    : request.deadlineAt;
  if (state.now < due) return;
  if (request.phase === "running") {
    if (request.deadlineAt > state.now) return;
    yield {
      kind: "cancel",
      request: request.request,
      attempt: request.attempt,
    };
    request.verdict = combineVerdicts(
      request.verdict,
      verdictOf("response_timeout"),
    );
    releaseTarget(state, request);
  }
  yield* refuseRequest(state, request, {
    refusal: expiryRefusal(state, request),
  });
}

function expiryRefusal(state: State, request: Request) {
  const late = state.now >= request.deadlineAt;
  const waited = Math.round(state.now - request.arrivedAt);
  const verdict = request.phase === "waiting"
    ? "may_have_run" as const
    : request.verdict;
  return late
    ? {
      code: "deadline_passed" as const,
      message: `The deadline passed after ${waited} ms`,
      verdict,
    }
    : {
      code: "overloaded" as const,
      message: `No room within ${waited} ms, too late for the target`,
      verdict,
    };
}

/** Handles a caller that left: its work is cancelled at the backend server. */
export function* leaveCaller(
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
    if (pool !== undefined) settleCost(state, pool, request);
    releaseTarget(state, request);
  }
  const outcome = running ? "caller_gone_running" : "caller_gone_queued";
  const verdict = combineVerdicts(request.verdict, verdictOf(outcome));
  yield* abandonRequest(state, request, { verdict });
  if (pool !== undefined) yield* dispatchPool(state, pool);
}
