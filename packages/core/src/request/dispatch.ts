/**
 * Queues requests, and starts waiting ones at targets with a free slot.
 *
 * @module
 */
import { findRequestToShed } from "../admission/shed.ts";
import { chargeStart, pickNext } from "../admission/pick.ts";
import { isLowUsage } from "../admission/overdraft.ts";
import { enqueue, removeWaiting } from "../admission/request_queue.ts";
import { weightOf } from "../admission/weights.ts";
import { mayDecide } from "../catch_up/mod.ts";
import { updateAttemptAverage } from "../capacity/load_estimate.ts";
import { refreshTarget } from "../capacity/targets.ts";
import { poolBackoffLeft } from "../health/backoff.ts";
import type { Effects } from "../reduce_types.ts";
import { addHolder } from "../routing/prefix_index.ts";
import { chooseTarget } from "../routing/route.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { schedule } from "../util/timer_queue.ts";
import { refuseRequest } from "./finish.ts";
import { beginObservation, isHeldBack, refuseHeld } from "./held_requests.ts";
import { advance } from "./machine.ts";
import { beginPrefill } from "./attempt.ts";
import { preemptFor } from "./preempt.ts";
import type { Request } from "./types.ts";

/** New work is refused at once after this time without a serving target, ms. */
const NO_CAPACITY_MS = 1_000;

/** Puts a request into its queue; a resumed stream goes before all other requests. */
export function* enqueueRequest(
  state: State,
  pool: Pool,
  request: Request,
): Effects {
  if (hasNoCapacity(state, pool)) {
    const message =
      `No backend server serves deployment "${pool.name}" at present`;
    const { verdict } = request;
    return yield* refuseRequest(state, request, {
      refusal: { code: "no_capacity", message, verdict },
    });
  }
  const backoffMs = poolBackoffLeft(state, pool);
  if (backoffMs !== undefined && state.now + backoffMs > request.startBy) {
    return yield* refuseRequest(state, request, {
      refusal: {
        code: "overloaded",
        message:
          `All backend servers of "${pool.name}" have asked for a pause; try again after it`,
        verdict: request.verdict,
        retryAfterMs: backoffMs,
      },
    });
  }
  if (!advance(request, "enqueue")) return;
  if (request.deliveredTokens > 0) pool.resumptions.push(request);
  else {enqueue(pool.queues[request.rank], request, {
      weightOf: (path) => weightOf(state, path),
      unitCost: pool.unitCost.value,
    });}
  schedule(state.timers, Math.min(request.startBy, request.deadlineAt), {
    timer: { kind: "request_expiry", request: request.request },
  });
  request.lowUsage = isLowUsage(state, pool, request);
  yield* dispatchPool(state, pool);
  yield* shedOverflow(state, pool, request);
}

// A target that was serving a moment ago may serve again in time; after a longer gap none is expected to.
function hasNoCapacity(state: State, pool: Pool): boolean {
  if (pool.servingTargets.names.length > 0) {
    pool.lastServingAt = state.now;
    return false;
  }
  return state.now - pool.lastServingAt > NO_CAPACITY_MS;
}

function* shedOverflow(state: State, pool: Pool, arrived: Request): Effects {
  let excess = findRequestToShed(state, pool, arrived);
  while (excess !== undefined) {
    yield* refuseRequest(state, excess, {
      refusal: {
        code: "overloaded",
        message:
          `More ${excess.rank} requests are waiting than "${pool.name}" can start in time`,
        verdict: excess.verdict,
      },
    });
    excess = findRequestToShed(state, pool, arrived);
  }
}

/** Starts all waiting requests of a pool that can start now. */
export function* dispatchPool(state: State, pool: Pool): Effects {
  if (!state.ready || !mayDecide(state)) return;
  while (true) {
    const request = pool.resumptions[0] ?? pickNext(state, pool);
    if (request === undefined) return;
    if (isHeldBack(state, request)) {
      yield* refuseHeld(state, request);
      continue;
    }
    request.lowUsage = isLowUsage(state, pool, request);
    const target = chooseTarget(state, pool, request);
    if (target === undefined) {
      if (yield* preemptFor(state, pool, request)) continue;
      return;
    }
    if (pool.resumptions[0] === request) pool.resumptions.shift();
    else removeWaiting(pool.queues[request.rank], request);
    yield* startRequest(state, { pool, request, target });
  }
}

/** Handles the time from which waiting work may preempt batch work. */
export function* checkPreemption(
  state: State,
  { pool: name }: { pool: string },
): Effects {
  const pool = state.pools.get(name);
  if (pool !== undefined) yield* dispatchPool(state, pool);
}

function* startRequest(
  state: State,
  { pool, request, target }: { pool: Pool; request: Request; target: Target },
): Effects {
  if (!advance(request, "send")) return;
  if (request.startedAt === undefined) {
    chargeStart(state, pool, request);
    yield {
      kind: "observe",
      sample: {
        kind: "queue_wait",
        rank: request.rank,
        ms: state.now - request.arrivedAt,
      },
    };
  }
  request.attempt += 1;
  request.startedAt = state.now;
  request.lastProgressAt = state.now;
  request.target = target.name;
  beginObservation(state, request);
  updateAttemptAverage(target, state.now);
  target.attempts.add(request.request);
  beginPrefill(target, request);
  if (request.rank === "batch") pool.runningBatch.add(request.request);
  for (const prefix of request.prefixes) {
    addHolder(pool.prefixes, prefix, { target: target.name, now: state.now });
  }
  refreshTarget(state, target);
  if (pool.deployment.kind === "model") scheduleStallCheck(state, request);
  const head = target.members[0];
  if (head === undefined) return;
  yield {
    kind: "send",
    request: request.request,
    attempt: request.attempt,
    target: target.name,
    address: head.member.address,
    rank: request.rank,
    lowUsage: request.lowUsage,
    ...(target.epoch !== undefined &&
      { group: target.name, epoch: target.epoch }),
    resumeFrom: request.deliveredTokens,
    remainingMs: Math.max(1, Math.round(request.deadlineAt - state.now)),
  };
}

/** Schedules the check that a running stream makes progress. */
export function scheduleStallCheck(state: State, request: Request): void {
  const stallMs = state.config?.config.policy.stallMs ?? 2_000;
  schedule(state.timers, request.lastProgressAt + stallMs, {
    timer: {
      kind: "stream_stall",
      request: request.request,
      attempt: request.attempt,
    },
  });
}
