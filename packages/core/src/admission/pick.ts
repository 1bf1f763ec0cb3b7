/**
 * Chooses which waiting request goes next: floors, then what each owner paid for, then the most urgent rank.
 *
 * @module
 */
import { type Rank, RANKS } from "../config/types.ts";
import type { Request } from "../request/types.ts";
import type { Pool, State } from "../state/types.ts";
import { addAmount, createRate, decayRate } from "../util/ewma.ts";
import { charge, peekFair } from "./fair_queue.ts";
import { rankPolicy, weightOf } from "./weights.ts";

/** Time constant over which an owner's use is set against its paid share. */
const USE_WINDOW_MS = 2_000;
/** Ranks that an owner's paid share protects from the other owner's flood. */
const PROTECTED_RANKS: readonly Rank[] = ["urgent", "standard"];
/** Floor credit kept at most, as a multiple of the newest request's cost. */
const MAX_CREDIT_REQUESTS = 4;

function floorPick(pool: Pool): Request | undefined {
  for (const rank of RANKS) {
    if (pool.floorCredit[rank] <= 0) continue;
    const request = peekFair(pool.queues[rank]);
    if (
      request !== undefined && pool.floorCredit[rank] >= request.predictedCost
    ) return request;
  }
  return undefined;
}

function isBelowPaidShare(state: State, pool: Pool, owner: string): boolean {
  const rate = pool.ownerUse.get(owner);
  const options = { now: state.now, windowMs: USE_WINDOW_MS };
  const total = decayRate(pool.totalUse, options);
  if (rate === undefined || total <= 0) return true;
  const owners = Object.values(state.config?.config.owners ?? {});
  const shares = owners.reduce((sum, { share }) => sum + share, 0);
  return decayRate(rate, options) / total < weightOf(state, [owner]) / shares;
}

function paidPick(state: State, pool: Pool): Request | undefined {
  for (const rank of PROTECTED_RANKS) {
    for (const owner of pool.queues[rank].children.values()) {
      if (owner.backlog === 0 || !isBelowPaidShare(state, pool, owner.name)) {
        continue;
      }
      return peekFair(pool.queues[rank], { owner: owner.name });
    }
  }
  return undefined;
}

function rankPick(pool: Pool): Request | undefined {
  for (const rank of RANKS) {
    const request = peekFair(pool.queues[rank]);
    if (request !== undefined) return request;
  }
  return undefined;
}

/** Returns the request to start next, without removing it. */
export function pickNext(state: State, pool: Pool): Request | undefined {
  return floorPick(pool) ?? paidPick(state, pool) ?? rankPick(pool);
}

/** Charges a started request to its path, its owner's use and the ranks' floors. */
export function chargeStart(state: State, pool: Pool, request: Request): void {
  const amount = request.predictedCost;
  request.charged = amount;
  chargeAmount(state, pool, { request, amount });
  for (const rank of RANKS) {
    const waiting = pool.queues[rank].backlog > 0;
    const credit = waiting
      ? pool.floorCredit[rank] + amount * rankPolicy(state, rank).floor
      : 0;
    pool.floorCredit[rank] = Math.min(credit, amount * MAX_CREDIT_REQUESTS);
  }
  pool.floorCredit[request.rank] = Math.max(
    pool.floorCredit[request.rank] - amount,
    -amount * MAX_CREDIT_REQUESTS,
  );
}

/** Charges or gives back cost once more is known of a request. */
export function chargeAmount(
  state: State,
  pool: Pool,
  { request, amount }: { request: Request; amount: number },
): void {
  charge(pool.queues[request.rank], request, {
    amount,
    weightOf: (path) => weightOf(state, path),
  });
  const options = { now: state.now, windowMs: USE_WINDOW_MS };
  const owner = request.principal.owner;
  const use = pool.ownerUse.get(owner) ?? createRate(state.now);
  pool.ownerUse.set(owner, use);
  addAmount(use, amount, options);
  addAmount(pool.totalUse, amount, options);
}
