/**
 * Retries, resumes or refuses a request whose attempt failed, by its verdict and the retry budget.
 *
 * @module
 */
import type { RefusalCode } from "../effect/types.ts";
import { findHeld } from "../quarantine/mod.ts";
import { recordFailure } from "../health/ejection.ts";
import type { Effects } from "../reduce_types.ts";
import type { Pool, State } from "../state/types.ts";
import { addAmount, decayRate } from "../util/ewma.ts";
import { nextFloat } from "../util/random.ts";
import { schedule } from "../util/timer_queue.ts";
import type { Outcome } from "../verdict/types.ts";
import { combineVerdicts, verdictOf } from "../verdict/verdict_table.ts";
import { releaseTarget } from "./attempt.ts";
import { dispatchPool, enqueueRequest } from "./dispatch.ts";
import { refuseRequest } from "./finish.ts";
import { reportCut } from "./held_requests.ts";
import { advance } from "./machine.ts";
import type { Request } from "./types.ts";

/** Time constant of the retry budget, ms. */
export const RETRY_WINDOW_MS = 10_000;
/** Retries always allowed in a window, so that an entry with little traffic can retry at all. */
const MIN_RETRIES = 3;
/** Base of the upper bound of the random backoff, ms; the bound doubles with each failure. */
const RETRY_BASE_MS = 20;
/** Largest upper bound of the backoff, ms. */
const RETRY_MAX_MS = 500;

/** Outcomes that do not count as failures of the target. */
const NEUTRAL_OUTCOMES: ReadonlySet<Outcome> = new Set([
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
  reportCut(state, request, outcome);
  if (request.target !== undefined) request.excluded.push(request.target);
  releaseTarget(state, request);
  if (target !== undefined && !NEUTRAL_OUTCOMES.has(outcome)) {
    yield* recordFailure(state, target);
  }
  const cause = noRetryCause(state, pool, request);
  if (cause !== undefined) {
    return yield* giveUp(state, request, { outcome, cause, retryAfterMs });
  }
  addAmount(pool.retries, 1, { now: state.now, windowMs: RETRY_WINDOW_MS });
  advance(request, "back_off");
  const maxMs = Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** request.failures);
  const backoffMs = request.deliveredTokens > 0
    ? 0
    : nextFloat(state.random) * maxMs;
  if (request.deliveredTokens > 0) {
    yield {
      kind: "log",
      event: "stream_resumed",
      fields: { request: request.request, tokens: request.deliveredTokens },
    };
  }
  schedule(state.timers, state.now + backoffMs, {
    timer: { kind: "request_retry", request: request.request },
  });
}

type NoRetryCause =
  | "committed"
  | "quarantined"
  | "not_idempotent"
  | "no_attempts_left"
  | "retry_budget_used"
  | "deadline_passed";

function noRetryCause(
  state: State,
  pool: Pool,
  request: Request,
): NoRetryCause | undefined {
  const policy = state.config?.config.policy;
  if (request.committed) return "committed";
  if (findHeld(state, request.crashSuspects) !== undefined) {
    return "quarantined";
  }
  if (!request.idempotent && request.verdict !== "not_run") {
    return "not_idempotent";
  }
  if (request.failures >= (policy?.maxAttempts ?? 1)) return "no_attempts_left";
  if (state.now >= request.deadlineAt) return "deadline_passed";
  if (request.deliveredTokens > 0) return undefined;
  const options = { now: state.now, windowMs: RETRY_WINDOW_MS };
  const retries = decayRate(pool.retries, options) * RETRY_WINDOW_MS;
  const firstAttempts = decayRate(pool.firstAttempts, options) *
    RETRY_WINDOW_MS;
  const budget = Math.max(
    MIN_RETRIES,
    firstAttempts * (policy?.retryShare ?? 0),
  );
  return retries < budget ? undefined : "retry_budget_used";
}

const CAUSE_TEXTS: Readonly<Record<NoRetryCause, string>> = {
  quarantined:
    "it, or a part of its prompt, has crashed every server that ran it",
  committed: "part of the response has already reached the caller",
  not_idempotent: "the request is not idempotent",
  no_attempts_left: "no attempts are left",
  retry_budget_used: "the retry budget is used up",
  deadline_passed: "the deadline has passed",
};

function* giveUp(
  state: State,
  request: Request,
  { outcome, cause, retryAfterMs }: {
    outcome: Outcome;
    cause: NoRetryCause;
    retryAfterMs: number | undefined;
  },
): Effects {
  const code: RefusalCode = request.deliveredTokens > 0
    ? "stream_lost"
    : "backend_failed";
  const message = `Cannot finish the request: ${outcome}; not retried because ${
    CAUSE_TEXTS[cause]
  }`;
  if (code === "stream_lost") {
    yield {
      kind: "log",
      event: "stream_lost",
      fields: { request: request.request, outcome },
    };
  }
  const retryAfter = retryAfterMs !== undefined ? { retryAfterMs } : {};
  yield* refuseRequest(state, request, {
    refusal: { code, message, verdict: request.verdict, ...retryAfter },
  });
}

/** Puts a request back into its queue after its backoff. */
export function* retryRequest(
  state: State,
  { request: id }: { request: string },
): Effects {
  const request = state.requests.get(id);
  const pool = state.pools.get(request?.deployment ?? "");
  if (request?.phase !== "backoff" || pool === undefined) return;
  if (pool.targets.size <= request.excluded.length) request.excluded.length = 0;
  request.startBy = request.deadlineAt;
  yield* enqueueRequest(state, pool, request);
}

/** Cancels a running attempt and handles it as failed. */
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
