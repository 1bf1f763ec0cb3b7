/**
 * Preempts running batch work when urgent or standard work would miss its target.
 *
 * @module
 */
import { enqueue } from "../admission/request_queue.ts";
import { rankPolicy, weightOf } from "../admission/weights.ts";
import type { Effect } from "../effect/types.ts";
import type { Pool, State } from "../state/types.ts";
import { releaseTarget } from "./attempt.ts";
import { schedule } from "../util/timer_queue.ts";
import { advance } from "./machine.ts";
import type { Request } from "./types.ts";

/** Least time between two preemptions in one pool, so that a freed slot is used before the next one is taken, ms. */
const MIN_PREEMPT_INTERVAL_MS = 10;
/** Part of a rank's queue wait after which its work may preempt batch work. */
const PREEMPT_WAIT_SHARE = 0.4;
/** A batch request that was preempted this often runs to its end. */
const MAX_PREEMPTIONS = 3;

function isPreemptible({ rank, usesFloor, preemptions }: Request): boolean {
  return rank === "batch" && !usesFloor && preemptions < MAX_PREEMPTIONS;
}

// Preempts the newest request, since it loses the least progress.
function findVictim(state: State, pool: Pool): Request | undefined {
  let newest: Request | undefined;
  for (const id of pool.runningBatch) {
    const request = state.requests.get(id);
    if (request === undefined || !isPreemptible(request)) continue;
    const target = state.targets.get(request.target ?? "");
    if (target?.phase !== "serving" || target.allowance === 0) continue;
    const startedAt = request.startedAt ?? 0;
    if (newest === undefined || startedAt > (newest.startedAt ?? 0)) {
      newest = request;
    }
  }
  return newest;
}

// Slots become free all the time; only work that got none of them in time preempts batch work.
function hasWaitedEnough(state: State, pool: Pool, request: Request): boolean {
  const minWaitMs = rankPolicy(state, request.rank).queueWaitMs *
    PREEMPT_WAIT_SHARE;
  const at = request.arrivedAt + minWaitMs;
  if (state.now >= at) return true;
  if (pool.preemptCheckAt <= state.now || at < pool.preemptCheckAt) {
    pool.preemptCheckAt = at;
    schedule(state.timers, at, {
      timer: { kind: "preempt_check", pool: pool.name },
    });
  }
  return false;
}

function canPreempt(state: State, pool: Pool, request: Request): boolean {
  if (request.rank === "batch" || pool.deployment.kind !== "model") {
    return false;
  }
  if (state.now - pool.preemptedAt < MIN_PREEMPT_INTERVAL_MS) return false;
  return pool.runningBatch.size > 0 && hasWaitedEnough(state, pool, request);
}

/** Cancels one batch request, which keeps its tokens and resumes later; returns whether one was preempted. */
export function* preemptFor(
  state: State,
  pool: Pool,
  request: Request,
): Generator<Effect, boolean, void> {
  if (!canPreempt(state, pool, request)) return false;
  const victim = findVictim(state, pool);
  if (victim === undefined) return false;
  pool.preemptedAt = state.now;
  victim.preemptions += 1;
  yield { kind: "cancel", request: victim.request, attempt: victim.attempt };
  yield {
    kind: "log",
    event: "batch_preempted",
    fields: { request: victim.request, tokens: victim.deliveredTokens },
  };
  releaseTarget(state, victim);
  advance(victim, "enqueue");
  enqueue(pool.queues.batch, victim, {
    weightOf: (path) => weightOf(state, path),
    unitCost: pool.unitCost.value,
    front: true,
  });
  return true;
}
