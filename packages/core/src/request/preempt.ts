/**
 * Makes running batch work give way when urgent or standard work would miss its target.
 *
 * @module
 */
import { enqueue } from "../admission/fair_queue.ts";
import { ownSlots } from "../admission/shed.ts";
import { rankPolicy, weightOf } from "../admission/weights.ts";
import type { Effect } from "../effect/types.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { releaseTarget } from "./attempt.ts";
import { advance } from "./machine.ts";
import type { Request } from "./types.ts";

/** Pause between two preemptions in one pool, so that a slot freed is seen before the next is taken. */
const PREEMPT_PAUSE_MS = 10;
/** A batch request that gave way this often runs to its end. */
const MAX_PREEMPTIONS = 3;

function batchRequestAt(state: State, target: Target): Request | undefined {
  let newest: Request | undefined;
  for (const id of target.attempts) {
    const request = state.requests.get(id);
    if (request?.rank !== "batch" || request.preemptions >= MAX_PREEMPTIONS) {
      continue;
    }
    if (
      newest === undefined || (request.startedAt ?? 0) > (newest.startedAt ?? 0)
    ) newest = request;
  }
  return newest;
}

function findVictim(state: State, pool: Pool): Request | undefined {
  for (const id of pool.runningBatch) {
    const target = state.targets.get(state.requests.get(id)?.target ?? "");
    if (target?.phase !== "serving" || target.allowance === 0) continue;
    const victim = batchRequestAt(state, target);
    if (victim !== undefined) return victim;
  }
  return undefined;
}

function mayPreempt(state: State, pool: Pool, request: Request): boolean {
  if (request.rank === "batch" || pool.deployment.kind !== "model") {
    return false;
  }
  if (state.now - pool.preemptedAt < PREEMPT_PAUSE_MS) return false;
  return pool.runningBatch.size >
    ownSlots(pool) * rankPolicy(state, "batch").floor;
}

/** Cancels one batch request, which keeps its tokens and resumes later; returns whether one gave way. */
export function* preemptFor(
  state: State,
  pool: Pool,
  request: Request,
): Generator<Effect, boolean, void> {
  if (!mayPreempt(state, pool, request)) return false;
  const victim = findVictim(state, pool);
  if (victim === undefined) return false;
  pool.preemptedAt = state.now;
  victim.preemptions += 1;
  yield { kind: "cancel", request: victim.request, attempt: victim.attempt };
  yield {
    kind: "log",
    event: "batch_preempted",
    fields: { request: victim.request, tokens: victim.delivered },
  };
  releaseTarget(state, victim);
  advance(victim, "enqueue");
  enqueue(pool.queues.batch, victim, {
    weightOf: (path) => weightOf(state, path),
    front: true,
  });
  return true;
}
