/**
 * Admits a caller's request: checks whom the deployment serves, the limits and the claim on its key, then queues it.
 *
 * @module
 */
import { recordOwnerDemand } from "../admission/pick.ts";
import { ARRIVAL_WINDOW_MS } from "../admission/shed.ts";
import { rankPolicy } from "../admission/weights.ts";
import {
  canClaim,
  type ClaimStatus,
  resolveClaim,
  scopedKey,
  startClaim,
  waitForClaim,
} from "../claim/claim.ts";
import { refusalReason } from "../config/audience.ts";
import type { EventOf } from "../event/types.ts";
import { chargeLimits } from "../limit/limits.ts";
import { crashSuspectsOf } from "../quarantine/mod.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import type { Pool, State } from "../state/types.ts";
import { addAmount, addSample } from "../util/ewma.ts";
import { schedule } from "../util/timer_queue.ts";
import { enqueueRequest } from "./dispatch.ts";
import { type Refusal, refuseRequest, replay } from "./finish.ts";
import { isHeldBack, refuseHeld, tryHeldPart } from "./held_requests.ts";
import { advance } from "./machine.ts";
import type { Request } from "./types.ts";

/** Cost of a prompt token in output-token equivalents; prefill is cheaper than decoding by this factor. */
export const PROMPT_TOKEN_COST = 0.1;
/** Cost of one request to a plain service. */
const SERVICE_REQUEST_COST = 1;
/** Part of the first-token target reserved for prefill and for the way back to the caller, ms. */
const PREFILL_RESERVE_MS = 200;
const UNIT_COST_WEIGHT = 0.01;
const LOG_RETRY_AFTER_MS = 5_000;

const TOO_LATE: Refusal = {
  code: "deadline_passed",
  message: "The deadline passed before the request could be queued",
  verdict: "not_run",
};

/** Returns the cost of a request with the given output, in output-token equivalents. */
export function costOfOutput(
  request: Pick<Request, "promptTokens">,
  outputTokens: number,
): number {
  return request.promptTokens * PROMPT_TOKEN_COST + outputTokens;
}

function predictedOutput(
  pool: Pool,
  event: EventOf<"request_arrived">,
): number {
  if (pool.deployment.kind === "service") return 0;
  return Math.max(
    1,
    Math.min(event.maxOutputTokens, pool.outputTokens[event.rank].value),
  );
}

function createRequest(
  state: State,
  pool: Pool,
  event: EventOf<"request_arrived">,
): Request {
  const policy = rankPolicy(state, event.rank);
  const deadlineAt = event.at +
    Math.min(event.deadlineMs ?? policy.deadlineMs, policy.deadlineMs);
  const output = predictedOutput(pool, event);
  const isModel = pool.deployment.kind === "model";
  const startBy = isModel
    ? event.at + policy.firstTokenMs - PREFILL_RESERVE_MS
    : deadlineAt;
  return {
    request: event.request,
    deployment: event.deployment,
    principal: event.principal,
    rank: event.rank,
    promptTokens: event.promptTokens,
    maxOutputTokens: event.maxOutputTokens,
    prefixes: event.prefixes,
    crashSuspects: crashSuspectsOf({
      promptParts: event.promptParts ?? [],
      fingerprint: event.fingerprint,
    }),
    idempotent: event.idempotent,
    key: event.key,
    digest: event.digest,
    adapter: event.adapter,
    phase: "claiming",
    arrivedAt: event.at,
    deadlineAt,
    startBy,
    predictedCost: isModel ? costOfOutput(event, output) : SERVICE_REQUEST_COST,
    chargedCost: 0,
    predictedOutput: output,
    attempt: 0,
    target: undefined,
    startedAt: undefined,
    firstTokenAt: undefined,
    lastTokenAt: undefined,
    claim: undefined,
    failures: 0,
    committed: false,
    preemptions: 0,
    lowUsage: false,
    usesFloor: false,
    prefilling: false,
    excluded: [],
    deliveredTokens: 0,
    verdict: "not_run",
    lastProgressAt: state.now,
    isTrial: false,
    isSound: false,
    chains: new Map(),
    reportedPromptTokens: 0,
    reportedCachedTokens: 0,
  };
}

function* refuseArrival(
  event: EventOf<"request_arrived">,
  { code, message }: Pick<Refusal, "code" | "message">,
): Effects {
  const { request, rank, principal: { owner } } = event;
  yield { kind: "refuse", request, code, message, verdict: "not_run" };
  yield {
    kind: "observe",
    sample: { kind: "ended", rank, owner, verdict: "not_run", code },
  };
}

function readinessRefusal(
  state: State,
): Pick<Refusal, "code" | "message"> | undefined {
  if (state.phase !== "serving") {
    return {
      code: "stopping",
      message: "This entry VM is stopping; try again",
    };
  }
  if (!state.ready) {
    return {
      code: "not_ready",
      message: "This entry VM is not ready yet; try again",
    };
  }
  return undefined;
}

/** Handles a request's arrival. */
export function* handleArrival(
  state: State,
  event: EventOf<"request_arrived">,
): Effects {
  const notReady = readinessRefusal(state);
  if (notReady !== undefined) return yield* refuseArrival(event, notReady);
  const pool = state.pools.get(event.deployment);
  if (pool === undefined) {
    const message = `Cannot find a deployment named "${event.deployment}"`;
    return yield* refuseArrival(event, {
      code: "unknown_deployment",
      message,
    });
  }
  const undeclared = refusalReason(pool.deployment, {
    ...event,
    site: state.node.site,
  });
  if (undeclared !== undefined) {
    const message =
      `Deployment "${event.deployment}" does not serve ${undeclared}`;
    return yield* refuseArrival(event, { code: "not_declared", message });
  }
  yield* admitRequest(state, pool, createRequest(state, pool, event));
}

function* admitRequest(state: State, pool: Pool, request: Request): Effects {
  state.requests.set(request.request, request);
  addAmount(pool.arrivals[request.rank], 1, {
    now: state.now,
    windowMs: ARRIVAL_WINDOW_MS,
  });
  recordOwnerDemand(state, pool, request);
  addSample(pool.unitCost, request.predictedCost, { weight: UNIT_COST_WEIGHT });
  schedule(state.timers, request.deadlineAt, {
    timer: { kind: "request_expiry", request: request.request },
  });
  if (state.now >= request.deadlineAt) {
    return yield* refuseRequest(state, request, { refusal: TOO_LATE });
  }
  yield* tryHeldPart(state, request);
  if (isHeldBack(state, request)) return yield* refuseHeld(state, request);
  const limitRefusal = chargeLimits(state, request);
  if (limitRefusal !== undefined) {
    return yield* refuseRequest(state, request, { refusal: limitRefusal });
  }
  if (request.idempotent || request.key === undefined) {
    return yield* enqueueRequest(state, pool, request);
  }
  yield* claimKey(state, request);
}

type ClaimHandler = (state: State, request: Request) => Effects;

function refuseWith(refusal: Refusal): ClaimHandler {
  return (state, request) => refuseRequest(state, request, { refusal });
}

const CLAIM_HANDLERS: Readonly<Record<ClaimStatus, ClaimHandler>> = {
  *free(state, request) {
    if (canClaim(state)) return yield* startClaim(state, request);
    yield* refuseRequest(state, request, {
      refusal: {
        code: "log_unavailable",
        message:
          "Cannot claim the Idempotency-Key while the log service is unreachable; nothing was run",
        verdict: "not_run",
        retryAfterMs: LOG_RETRY_AFTER_MS,
      },
    });
  },
  *won(state, request) {
    const pool = state.pools.get(request.deployment);
    if (pool !== undefined) yield* enqueueRequest(state, pool, request);
  },
  mismatch: refuseWith({
    code: "key_mismatch",
    message: "This Idempotency-Key was used for another request; use a new key",
    verdict: "not_run",
  }),
  undecided(state, request) {
    waitForClaim(state, request);
    return noEffects();
  },
  *replayable(state, request) {
    const response = state.fold.claims.get(scopedKey(request))?.answer;
    if (response !== undefined) yield* replay(state, request, { response });
  },
  ran: refuseWith({
    code: "already_ran",
    message:
      "The request with this Idempotency-Key ran; its response is no longer stored",
    verdict: "ran",
  }),
  unknown: refuseWith({
    code: "key_in_use",
    message:
      "The request with this Idempotency-Key may have run; look it up before using a new key",
    verdict: "may_have_run",
  }),
};

/** Claims, queues, replays or refuses a request by the state of its key in the fold. */
export function* claimKey(state: State, request: Request): Effects {
  yield* CLAIM_HANDLERS[resolveClaim(state, request)](state, request);
}

/** Checks the key again for every request that waits for it. */
export function* wakeWaiters(state: State, key: string): Effects {
  const waiting = state.waiters.get(key);
  if (waiting === undefined) return;
  state.waiters.delete(key);
  for (const id of waiting) {
    const request = state.requests.get(id);
    if (request !== undefined && advance(request, "wait")) {
      yield* claimKey(state, request);
    }
  }
}
