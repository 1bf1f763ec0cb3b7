/**
 * Sheds work that can no longer meet its target, newest of the heaviest caller first.
 *
 * @module
 */
import type { Rank } from "../config/types.ts";
import type { Request } from "../request/types.ts";
import type { Pool, State } from "../state/types.ts";
import { decayRate } from "../util/ewma.ts";
import { peekHeaviest } from "./fair_queue.ts";
import { rankPolicy } from "./weights.ts";

/** Time constant of offered arrivals, ms. */
export const ARRIVAL_WINDOW_MS = 2_000;
/** Requests that may wait whatever the estimate says, so that a burst is not shed. */
const MIN_QUEUE = 3;
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 60_000;

/** Concurrency this entry may use in a pool. */
export function ownSlots(pool: Pool): number {
  return pool.slots * (pool.share.high - pool.share.low);
}

/** Concurrency that a rank's offered work needs at this entry. */
export function neededSlots(state: State, pool: Pool, rank: Rank): number {
  const perMs = decayRate(pool.arrivals[rank], {
    now: state.now,
    windowMs: ARRIVAL_WINDOW_MS,
  });
  return perMs * pool.holdMs[rank].value;
}

function floorSlots(state: State, pool: Pool, rank: Rank): number {
  return rankPolicy(state, rank).floor * ownSlots(pool);
}

/** Concurrency left for a rank after the more urgent ones and the floors of the others. */
export function slotsForRank(state: State, pool: Pool, rank: Rank): number {
  const own = ownSlots(pool);
  const floorOf = (other: Rank) =>
    Math.min(floorSlots(state, pool, other), neededSlots(state, pool, other));
  const urgent = Math.min(
    neededSlots(state, pool, "urgent"),
    own - floorOf("standard") - floorOf("batch"),
  );
  if (rank === "urgent") return own - floorOf("standard") - floorOf("batch");
  const standardCap = Math.max(
    floorSlots(state, pool, "standard"),
    own - urgent - floorOf("batch"),
  );
  if (rank === "standard") return standardCap;
  const standard = Math.min(neededSlots(state, pool, "standard"), standardCap);
  return Math.max(floorSlots(state, pool, "batch"), own - urgent - standard);
}

/** Requests of a rank that can start in time `withinMs` from now. */
export function startsWithin(
  state: State,
  pool: Pool,
  { rank, withinMs }: { rank: Rank; withinMs: number },
): number {
  return slotsForRank(state, pool, rank) /
    Math.max(1, pool.holdMs[rank].value) * withinMs;
}

/** Waiting requests of a rank that may still meet its target. */
export function queueAllowance(state: State, pool: Pool, rank: Rank): number {
  const withinMs = rankPolicy(state, rank).queueWaitMs;
  const timely = Math.max(
    MIN_QUEUE,
    startsWithin(state, pool, { rank, withinMs }),
  );
  return Math.min(
    timely,
    state.config?.config.policy.queueMaxRequests ?? timely,
  );
}

/** Returns a request to shed from an over-long queue, if any. */
export function overflowOf(
  state: State,
  pool: Pool,
  rank: Rank,
): Request | undefined {
  const queue = pool.queues[rank];
  if (queue.backlog <= queueAllowance(state, pool, rank)) return undefined;
  return peekHeaviest(queue);
}

/** When a refused caller may come back: once the waiting work of its rank has drained. */
export function retryAfterMs(state: State, pool: Pool, rank: Rank): number {
  const perMs = startsWithin(state, pool, { rank, withinMs: 1 });
  const drainMs = pool.queues[rank].backlog / Math.max(perMs, 1e-6);
  return Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs)),
  );
}
