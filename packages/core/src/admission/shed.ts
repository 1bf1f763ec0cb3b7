/**
 * Selects waiting work to shed once a queue's expected wait exceeds its rank's target, newest of the heaviest caller
 * first.
 *
 * @module
 */
import { type Rank, RANKS } from "../config/types.ts";
import type { Request } from "../request/types.ts";
import type { Pool, State } from "../state/types.ts";
import { decayRate, type Rate } from "../util/ewma.ts";
import { callerBacklog, peekExcess } from "./request_queue.ts";
import { rankPolicy, weightOf } from "./weights.ts";

/** Time constant of offered arrivals, ms. */
export const ARRIVAL_WINDOW_MS = 2_000;
/** Urgent and standard work fits without batch work while it needs less than this multiple of this entry's slots. */
const FIT_MARGIN = 1.1;
/** An owner that requests less than this multiple of its paid share is within it; random variation stays below. */
const PAID_MARGIN = 1.15;
/** Part of the queue wait that callers at or over their share may fill; the rest is for low-usage work. */
const COMMON_QUEUE_SHARE = 0.35;
/** A caller with more waiting requests than this never displaces the work of another. */
const MAX_DISPLACING_BACKLOG = 4;
const MIN_RATE = 1e-6;
/** Time constant of an owner's use when it is compared with its paid share, ms. */
export const USE_WINDOW_MS = 8_000;
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 60_000;

/** Returns the concurrency that this entry may use in a pool. */
export function ownSlots(pool: Pool): number {
  return pool.slots * (pool.share.high - pool.share.low);
}

/**
 * Returns the expected time that a request holds its slot, ms.
 *
 * For models it is derived from the output length, not from measured times: an entry with too few slots would measure
 * shorter times for work that was preempted, report less need, and get fewer slots still.
 */
export function holdMsOf(state: State, pool: Pool, rank: Rank): number {
  if (pool.deployment.kind === "service") return pool.holdMs[rank].value;
  const stepMs = state.config?.config.policy.betweenTokensMs ?? 0;
  return Math.max(1, pool.outputTokens[rank].value * stepMs);
}

/** Returns the concurrency that a rank's offered work needs at this entry. */
export function neededSlots(state: State, pool: Pool, rank: Rank): number {
  const perMs = decayRate(pool.arrivals[rank], {
    now: state.now,
    windowMs: ARRIVAL_WINDOW_MS,
  });
  return perMs * holdMsOf(state, pool, rank);
}

function floorSlots(state: State, pool: Pool, rank: Rank): number {
  return rankPolicy(state, rank).floor * ownSlots(pool);
}

/** Returns the concurrency left for a rank after the more urgent ranks and the floors of the others. */
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

/** Returns the number of requests of a rank that can start within `withinMs` from now. */
export function startsWithin(
  state: State,
  pool: Pool,
  { rank, withinMs }: { rank: Rank; withinMs: number },
): number {
  return slotsForRank(state, pool, rank) /
    holdMsOf(state, pool, rank) * withinMs;
}

// True where more urgent work needs all slots that the floors leave, so that this rank gets its floor and no more.
function isLimitedToFloor(state: State, pool: Pool, rank: Rank): boolean {
  const above = RANKS.slice(0, RANKS.indexOf(rank));
  const needed = above.reduce(
    (sum, other) => sum + neededSlots(state, pool, other),
    0,
  );
  const floors = RANKS.filter((other) => !above.includes(other))
    .reduce((sum, other) => sum + floorSlots(state, pool, other), 0);
  return above.length > 0 && needed >= ownSlots(pool) - floors;
}

// While more urgent work waits, a rank is served only at the rate that its floor earns.
function floorWaitMs(state: State, pool: Pool, rank: Rank): number {
  const options = { now: state.now, windowMs: USE_WINDOW_MS };
  const earnedPerMs = decayRate(pool.totalUse, options) *
    rankPolicy(state, rank).floor;
  const debt = Math.max(0, -pool.floorCredit[rank]);
  const { cost, backlog } = pool.queues[rank];
  const ahead = cost * (backlog - 1) / Math.max(1, backlog);
  return (debt + ahead) / Math.max(earnedPerMs, MIN_RATE);
}

/** Returns the expected wait of a rank's newest waiting request, ms. */
export function expectedWaitMs(state: State, pool: Pool, rank: Rank): number {
  const perMs = startsWithin(state, pool, { rank, withinMs: 1 });
  const ahead = Math.max(0, pool.queues[rank].backlog - 1);
  const queueMs = ahead / Math.max(perMs, MIN_RATE);
  return isLimitedToFloor(state, pool, rank)
    ? Math.max(queueMs, floorWaitMs(state, pool, rank))
    : queueMs;
}

/** Whether batch work runs, and urgent and standard work would fit into this entry's slots without it. */
export function canFitWithoutBatch(state: State, pool: Pool): boolean {
  if (pool.runningBatch.size === 0) return false;
  const needed = neededSlots(state, pool, "urgent") +
    neededSlots(state, pool, "standard");
  return needed < ownSlots(pool) * FIT_MARGIN;
}

// Batch work is preempted within the queue wait of the other ranks, so waiting work that fits into the slots of running
// batch work never makes a queue too long.
function canPreemptBatch(state: State, pool: Pool, rank: Rank): boolean {
  const waiting = pool.queues.urgent.backlog + pool.queues.standard.backlog;
  return rank !== "batch" && pool.runningBatch.size >= waiting &&
    canFitWithoutBatch(state, pool);
}

/** Ranks in which an owner's paid share protects its work from an overload by another owner. */
export const PROTECTED_RANKS: readonly Rank[] = ["urgent", "standard"];

/** Whether an owner's paid share protects work of a rank. */
export function isProtected(rank: Rank): boolean {
  return PROTECTED_RANKS.includes(rank);
}

// Returns a rate as a multiple of the owner's paid share of all use.
function paidMultiple(
  state: State,
  pool: Pool,
  { owner, rate }: { owner: string; rate: Rate | undefined },
): number {
  const options = { now: state.now, windowMs: USE_WINDOW_MS };
  const total = decayRate(pool.totalUse, options);
  if (rate === undefined || total <= 0) return 0;
  const owners = Object.values(state.config?.config.owners ?? {});
  const shares = owners.reduce((sum, { share }) => sum + share, 0);
  return decayRate(rate, options) / total / (weightOf(state, [owner]) / shares);
}

/**
 * Whether an owner requests no more than its paid share while another uses more than its own, so that the owner's work
 * goes first.
 *
 * Its share is compared with what it requests, not with what it was served: if two owners overload the fleet equally,
 * neither goes first, whichever was served more so far.
 */
export function isEntitled(state: State, pool: Pool, owner: string): boolean {
  const demand = paidMultiple(state, pool, {
    owner,
    rate: pool.ownerDemand.get(owner),
  });
  if (demand >= PAID_MARGIN) return false;
  return [...pool.ownerUse].some(([other, rate]) =>
    other !== owner && paidMultiple(state, pool, { owner: other, rate }) > 1
  );
}

type Overflow = "none" | "common" | "full";

function queueOverflow(state: State, pool: Pool, rank: Rank): Overflow {
  // Running batch work returns to the queue when it is preempted, so the queue keeps room for it.
  const returning = rank === "batch" ? pool.runningBatch.size : 0;
  const { backlog } = pool.queues[rank];
  if (backlog === 0 || canPreemptBatch(state, pool, rank)) return "none";
  const { queueWaitMs } = rankPolicy(state, rank);
  const waitMs = expectedWaitMs(state, pool, rank);
  const max = state.config?.config.policy.queueMaxRequests ?? Infinity;
  if (backlog + returning > max || waitMs > queueWaitMs) return "full";
  return waitMs > queueWaitMs * COMMON_QUEUE_SHARE ? "common" : "none";
}

/**
 * Returns the next request to shed after an arrival, if any.
 *
 * A queue past its common part accepts only low-usage and batch work, and any other arrived request is refused at once;
 * a full one sheds the request that is last in fair order.
 */
export function findRequestToShed(
  state: State,
  pool: Pool,
  arrived: Request,
): Request | undefined {
  const { rank, lowUsage, phase } = arrived;
  const overflow = queueOverflow(state, pool, rank);
  if (overflow === "none") return undefined;
  if (overflow === "common") {
    const isShed = phase === "queued" && !lowUsage && rank !== "batch";
    return isShed ? arrived : undefined;
  }
  const hasLongBacklog =
    callerBacklog(pool.queues[rank], arrived) > MAX_DISPLACING_BACKLOG;
  if (hasLongBacklog) return phase === "queued" ? arrived : undefined;
  const isExempt = (owner: string) =>
    isProtected(rank) && isEntitled(state, pool, owner);
  return peekExcess(pool.queues[rank], { arrived, isExempt });
}

/** Returns how long a refused caller should wait before it retries: until the waiting work of its rank is done, ms. */
export function retryAfterMs(state: State, pool: Pool, rank: Rank): number {
  const drainMs = expectedWaitMs(state, pool, rank);
  return Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs)),
  );
}
