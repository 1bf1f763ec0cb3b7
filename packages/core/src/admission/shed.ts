/**
 * Sheds work that can no longer meet its target, newest of the heaviest caller first.
 *
 * @module
 */
import { type Rank, RANKS } from "../config/types.ts";
import type { Request } from "../request/types.ts";
import type { Pool, State } from "../state/types.ts";
import { decayRate, type Rate } from "../util/ewma.ts";
import { lineLength, peekExcess } from "./fair_queue.ts";
import { rankPolicy, weightOf } from "./weights.ts";

/** Time constant of offered arrivals, ms. */
export const ARRIVAL_WINDOW_MS = 2_000;
/** Urgent and standard work that needs less than this of the slots is not itself a flood. */
const CALM_SHARE = 1.1;
/** Asking this much of a paid share is still put down to chance. */
const PAID_MARGIN = 1.15;
/** Part of the queue wait that callers at or over their share may fill; the rest is for light ones. */
const COMMON_QUEUE_SHARE = 0.35;
/** A caller with more waiting than this never pushes out the work of another. */
const SHORT_LINE = 4;
const MIN_RATE = 1e-6;
/** Time constant over which an owner's use is set against its paid share. */
export const USE_WINDOW_MS = 8_000;
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 60_000;

/** Concurrency this entry may use in a pool. */
export function ownSlots(pool: Pool): number {
  return pool.slots * (pool.share.high - pool.share.low);
}

/**
 * Time a request holds its slot, ms.
 *
 * For models it comes from the output, not from measured times: an entry that is crowded would measure shorter times
 * for work that gave way, ask for less, and be crowded further.
 */
export function holdMsOf(state: State, pool: Pool, rank: Rank): number {
  if (pool.deployment.kind === "service") return pool.holdMs[rank].value;
  const stepMs = state.config?.config.policy.betweenTokensMs ?? 0;
  return Math.max(1, pool.outputTokens[rank].value * stepMs);
}

/** Concurrency that a rank's offered work needs at this entry. */
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
    holdMsOf(state, pool, rank) * withinMs;
}

// More urgent work needs all that the floors leave, so this rank gets its floor and no more.
function isCrowdedOut(state: State, pool: Pool, rank: Rank): boolean {
  const above = RANKS.slice(0, RANKS.indexOf(rank));
  const needed = above.reduce(
    (sum, other) => sum + neededSlots(state, pool, other),
    0,
  );
  const floors = RANKS.filter((other) => !above.includes(other))
    .reduce((sum, other) => sum + floorSlots(state, pool, other), 0);
  return above.length > 0 && needed >= ownSlots(pool) - floors;
}

// While more urgent work waits, a rank is served only as its floor earns.
function floorWaitMs(state: State, pool: Pool, rank: Rank): number {
  const options = { now: state.now, windowMs: USE_WINDOW_MS };
  const earnedPerMs = decayRate(pool.totalUse, options) *
    rankPolicy(state, rank).floor;
  const owed = Math.max(0, -pool.floorCredit[rank]);
  const { cost, backlog } = pool.queues[rank];
  const ahead = cost * (backlog - 1) / Math.max(1, backlog);
  return (owed + ahead) / Math.max(earnedPerMs, MIN_RATE);
}

/** Time that the newest waiting request of a rank is expected to wait, ms. */
export function expectedWaitMs(state: State, pool: Pool, rank: Rank): number {
  const perMs = startsWithin(state, pool, { rank, withinMs: 1 });
  const ahead = Math.max(0, pool.queues[rank].backlog - 1);
  const queueMs = ahead / Math.max(perMs, MIN_RATE);
  return isCrowdedOut(state, pool, rank)
    ? Math.max(queueMs, floorWaitMs(state, pool, rank))
    : queueMs;
}

/** Whether only batch work stands in the way of the other ranks, which are no flood themselves. */
export function outranksBatch(state: State, pool: Pool): boolean {
  if (pool.runningBatch.size === 0) return false;
  const needed = neededSlots(state, pool, "urgent") +
    neededSlots(state, pool, "standard");
  return needed < ownSlots(pool) * CALM_SHARE;
}

// Batch work gives way within a rank's queue wait, so a burst above it is never too long.
function givesWay(state: State, pool: Pool, rank: Rank): boolean {
  const waiting = pool.queues.urgent.backlog + pool.queues.standard.backlog;
  return rank !== "batch" && pool.runningBatch.size >= waiting &&
    outranksBatch(state, pool);
}

/** Ranks that an owner's paid share protects from the other owner's flood. */
export const PROTECTED_RANKS: readonly Rank[] = ["urgent", "standard"];

/** Whether an owner's paid share protects work of a rank. */
export function isProtected(rank: Rank): boolean {
  return PROTECTED_RANKS.includes(rank);
}

// A rate as a multiple of the part of all use that an owner paid for.
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
 * Whether an owner asks for no more than it paid for while another uses more than that.
 *
 * What it asks for counts, not only what it gets: two owners that flood alike are never owed, whichever is ahead.
 */
export function isOwed(state: State, pool: Pool, owner: string): boolean {
  const asked = paidMultiple(state, pool, {
    owner,
    rate: pool.ownerDemand.get(owner),
  });
  if (asked >= PAID_MARGIN) return false;
  return [...pool.ownerUse].some(([other, rate]) =>
    other !== owner && paidMultiple(state, pool, { owner: other, rate }) > 1
  );
}

type Overflow = "none" | "common" | "full";

function judgeQueue(state: State, pool: Pool, rank: Rank): Overflow {
  // Batch work in flight may have to come back, so the queue keeps room for it.
  const returning = rank === "batch" ? pool.runningBatch.size : 0;
  const { backlog } = pool.queues[rank];
  if (backlog === 0 || givesWay(state, pool, rank)) return "none";
  const { queueWaitMs } = rankPolicy(state, rank);
  const waitMs = expectedWaitMs(state, pool, rank);
  const most = state.config?.config.policy.queueMaxRequests ?? Infinity;
  if (backlog + returning > most || waitMs > queueWaitMs) return "full";
  return waitMs > queueWaitMs * COMMON_QUEUE_SHARE ? "common" : "none";
}

/**
 * Returns a request to shed after an arrival, if any.
 *
 * A queue past its common part takes light work only, and the arrived request hears of it at once; a full one sheds
 * what fairness would serve last.
 */
export function overflowOf(
  state: State,
  pool: Pool,
  arrived: Request,
): Request | undefined {
  const { rank, light, phase } = arrived;
  const overflow = judgeQueue(state, pool, rank);
  if (overflow === "none") return undefined;
  if (overflow === "common") {
    const isShed = phase === "queued" && !light && rank !== "batch";
    return isShed ? arrived : undefined;
  }
  const isLongLine = lineLength(pool.queues[rank], arrived) > SHORT_LINE;
  if (isLongLine) return phase === "queued" ? arrived : undefined;
  const isSpared = (owner: string) =>
    isProtected(rank) && isOwed(state, pool, owner);
  return peekExcess(pool.queues[rank], { arrived, isSpared });
}

/** When a refused caller may come back: once the waiting work of its rank has drained. */
export function retryAfterMs(state: State, pool: Pool, rank: Rank): number {
  const drainMs = expectedWaitMs(state, pool, rank);
  return Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs)),
  );
}
