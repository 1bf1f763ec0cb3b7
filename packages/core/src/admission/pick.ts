/**
 * Chooses the waiting request to start next: ranks below their floor first, then owners below their paid share, then
 * the most urgent rank.
 *
 * @module
 */
import { type Rank, RANKS } from "../config/types.ts";
import { pathOf, type Request } from "../request/types.ts";
import type { Pool, State } from "../state/types.ts";
import { addAmount, createRate, type Rate } from "../util/ewma.ts";
import { CALLER_WINDOW_MS } from "./overdraft.ts";
import { charge, peekFair } from "./request_queue.ts";
import {
  isEntitled,
  isProtected,
  PROTECTED_RANKS,
  USE_WINDOW_MS,
} from "./shed.ts";
import { rankPolicy, weightOf } from "./weights.ts";

/** Factor on what floors earn: a floor is a share of completed work, and some started work never completes. */
const FLOOR_HEADROOM = 1.35;
/** Largest credit of a rank, in requests; a rank earns credit while it waits for a slot. */
const MAX_CREDIT_REQUESTS = 2;
/** Largest debt of a rank, in requests, so that its floor applies again soon after a quiet period. */
const MAX_DEBT_REQUESTS = 2;

function pickByFloor(pool: Pool): Request | undefined {
  for (const rank of RANKS) {
    if (pool.floorCredit[rank] <= 0) continue;
    const request = peekFair(pool.queues[rank]);
    if (request !== undefined) return request;
  }
  return undefined;
}

function pickByPaidShare(state: State, pool: Pool): Request | undefined {
  for (const rank of PROTECTED_RANKS) {
    for (const owner of pool.queues[rank].children.values()) {
      if (owner.backlog === 0 || !isEntitled(state, pool, owner.name)) {
        continue;
      }
      return peekFair(pool.queues[rank], { owner: owner.name });
    }
  }
  return undefined;
}

function pickByRank(pool: Pool): Request | undefined {
  for (const rank of RANKS) {
    const request = peekFair(pool.queues[rank]);
    if (request !== undefined) return request;
  }
  return undefined;
}

/** Returns the request to start next, without removing it. */
export function pickNext(state: State, pool: Pool): Request | undefined {
  const floorRequest = pickByFloor(pool);
  if (floorRequest !== undefined) floorRequest.usesFloor = true;
  return floorRequest ?? pickByPaidShare(state, pool) ?? pickByRank(pool);
}

/** Charges a started request to its fair-queueing path, its owner's and caller's use, and the floors of the ranks. */
export function chargeStart(state: State, pool: Pool, request: Request): void {
  const amount = request.predictedCost;
  request.chargedCost = amount;
  chargeAmount(state, pool, { request, amount });
  creditFloors(state, pool, { rank: request.rank, amount });
}

// Each rank earns its floor's share of all started cost and pays for its own; a rank in credit is served first.
function creditFloors(
  state: State,
  pool: Pool,
  { rank: started, amount }: { rank: Rank; amount: number },
): void {
  for (const rank of RANKS) {
    const earned = amount * rankPolicy(state, rank).floor * FLOOR_HEADROOM;
    const paid = rank === started ? amount : 0;
    const credit = pool.floorCredit[rank] + earned - paid;
    pool.floorCredit[rank] = Math.max(
      -amount * MAX_DEBT_REQUESTS,
      Math.min(amount * MAX_CREDIT_REQUESTS, credit),
    );
  }
}

/** Charges more of a request's cost, or refunds a negative amount, when its cost becomes known better. */
export function chargeAmount(
  state: State,
  pool: Pool,
  { request, amount }: { request: Request; amount: number },
): void {
  charge(pool.queues[request.rank], request, {
    amount,
    weightOf: (path) => weightOf(state, path),
  });
  const { owner } = request.principal;
  const caller = pathOf(request).join("/");
  const { now } = state;
  addAmount(rateOf(pool.ownerUse, owner, { now }), amount, {
    now,
    windowMs: USE_WINDOW_MS,
  });
  addAmount(rateOf(pool.callerUse, caller, { now }), amount, {
    now,
    windowMs: CALLER_WINDOW_MS,
  });
  addAmount(pool.totalUse, amount, { now, windowMs: USE_WINDOW_MS });
}

/** Records the cost that an owner requests at the protected ranks, whether it is served or not. */
export function recordOwnerDemand(
  state: State,
  pool: Pool,
  { principal, rank, predictedCost }: Request,
): void {
  if (!isProtected(rank)) return;
  const { now } = state;
  addAmount(rateOf(pool.ownerDemand, principal.owner, { now }), predictedCost, {
    now,
    windowMs: USE_WINDOW_MS,
  });
}

function rateOf(
  rates: Map<string, Rate>,
  name: string,
  { now }: { now: number },
): Rate {
  const rate = rates.get(name) ?? createRate(now);
  rates.set(name, rate);
  return rate;
}
