/**
 * Sheds work that can no longer meet its target, newest of the heaviest caller first.
 *
 * @module
 */
import { type Rank, RANKS } from "../config/types.ts";
import type { Request } from "../request/types.ts";
import type { Pool, State } from "../state/types.ts";
import { decayRate } from "../util/ewma.ts";
import { peekExcess } from "./fair_queue.ts";
import { rankPolicy, weightOf } from "./weights.ts";

/** Time constant of offered arrivals, ms. */
export const ARRIVAL_WINDOW_MS = 2_000;
/** Urgent and standard work that needs less than this of the slots is not itself a flood. */
const CALM_SHARE = 0.9;
/** Use over a paid share that is still put down to chance. */
const PAID_MARGIN = 1.1;
/** Part of the queue wait that callers at or over their share may fill; the rest is for light ones. */
const COMMON_QUEUE_SHARE = 0.6;
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

function isProtected(rank: Rank): boolean {
  return PROTECTED_RANKS.includes(rank);
}

function isWithinPaidShare(state: State, pool: Pool, owner: string): boolean {
  const options = { now: state.now, windowMs: USE_WINDOW_MS };
  const total = decayRate(pool.totalUse, options);
  const rate = pool.ownerUse.get(owner);
  if (rate === undefined || total <= 0) return true;
  const owners = Object.values(state.config?.config.owners ?? {});
  const shares = owners.reduce((sum, { share }) => sum + share, 0);
  return decayRate(rate, options) / total <
    weightOf(state, [owner]) / shares * PAID_MARGIN;
}

/** Whether an owner is within what it paid for while another uses more than that. */
export function isOwed(state: State, pool: Pool, owner: string): boolean {
  if (!isWithinPaidShare(state, pool, owner)) return false;
  return [...pool.ownerUse.keys()].some((other) =>
    other !== owner && !isWithinPaidShare(state, pool, other)
  );
}

function isOverlong(
  state: State,
  pool: Pool,
  { rank, light }: Request,
): boolean {
  const { backlog } = pool.queues[rank];
  const most = state.config?.config.policy.queueMaxRequests ?? Infinity;
  if (backlog === 0 || givesWay(state, pool, rank)) return false;
  const share = light || rank === "batch" ? 1 : COMMON_QUEUE_SHARE;
  const mostMs = rankPolicy(state, rank).queueWaitMs * share;
  return backlog > most || expectedWaitMs(state, pool, rank) > mostMs;
}

/** Returns a request to shed from an over-long queue, if any. */
export function overflowOf(
  state: State,
  pool: Pool,
  arrived: Request,
): Request | undefined {
  if (!isOverlong(state, pool, arrived)) return undefined;
  return peekExcess(pool.queues[arrived.rank], {
    arrived,
    isSpared: (owner) =>
      isProtected(arrived.rank) && isOwed(state, pool, owner),
  });
}

/** When a refused caller may come back: once the waiting work of its rank has drained. */
export function retryAfterMs(state: State, pool: Pool, rank: Rank): number {
  const drainMs = expectedWaitMs(state, pool, rank);
  return Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs)),
  );
}
