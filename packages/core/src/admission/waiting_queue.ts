/**
 * Queue of the requests that wait for the runners of one kind of work: by priority first, then max-min fair by cost over
 * routes and teams, with a minimum share of the starts for less urgent priorities.
 *
 * Requests whose first event can still be within the objective go before all that are late, whatever their priority,
 * since a late answer is worth a fraction of one in time.
 *
 * @module
 */
import {
  addAmount,
  addSample,
  createAverage,
  createRate,
  decayRate,
} from "../util/ewma.ts";
import {
  charge,
  createFairNode,
  enqueue,
  type FairNode,
  type ItemView,
  pruneIdle,
  removeWaiting,
} from "./fair_queue.ts";
import { aheadInOrder, headsInOrder } from "./fair_order.ts";
import { createHoldingsSharing } from "./holdings_parts.ts";
import type {
  Admission,
  PriorityLevel,
  WaitClass,
  Waiter,
  WaitingQueue,
} from "./types.ts";

/** Share of its demand at which a level is served at least, relative to all levels; some started work never completes. */
const MINIMUM_RATE_SHARE = 0.25 * 1.35;
/** Largest credit and debt of a level, in requests. */
const MAX_CREDIT_REQUESTS = 2;
/** Time over which the demand of a level is measured, ms. */
const DEMAND_WINDOW_MS = 10_000;
/** Interval at which idle nodes are removed, ms. */
const PRUNE_INTERVAL_MS = 1_000;
/**
 * Part by which a ratio of waits to their estimates returns to 1 at each such interval: while all are refused at once,
 * no wait corrects it.
 */
const RATIO_RETURN = 0.1;
/** Time for which a route or team that found no room counts as in need of some, ms. */
export const UNMET_MEMORY_MS = 1_000;
/** Weight of the newest request in the mean cost. */
const UNIT_COST_WEIGHT = 0.05;
const INITIAL_UNIT_COST = 1_000;

const VIEW: ItemView<Waiter> = {
  pathOf: ({ path }) => path,
  costOf: ({ cost }) => cost,
  isWaiting: ({ isGone }) => !isGone,
};
const weightOf = () => 1;
/** One that a runner turned away may not go there again, so that others may find room where it finds none. */
const ORDER = {
  view: VIEW,
  mayPass: ({ isReturned }: Waiter) => isReturned,
};

/** Creates the state of admission without any request. */
export function createAdmission(): Admission {
  return {
    queues: new Map(),
    holders: new Map(),
    refused: new Map(),
    zone: undefined,
    holdingsSharing: createHoldingsSharing(),
  };
}

/** Returns the queue of a kind of work, created where there is none yet. */
export function queueOf(
  { queues }: Admission,
  key: string,
  { now }: { now: number },
): WaitingQueue {
  let queue = queues.get(key);
  if (queue === undefined) {
    queue = {
      levels: [],
      waiters: new Map(),
      unitCost: createAverage(INITIAL_UNIT_COST),
      demand: createRate(now),
      holdingMs: undefined,
      firstEventMs: new Map(),
      waitRatios: { in_time: createAverage(1), late: createAverage(1) },
      prunedAt: now,
    };
    queues.set(key, queue);
  }
  return queue;
}

/** Returns the level of a priority, created where there is none yet. */
export function levelOf(
  { levels }: WaitingQueue,
  priority: number,
  { now }: { now: number },
): PriorityLevel {
  const known = levels.find((level) => level.priority === priority);
  if (known !== undefined) return known;
  const level: PriorityLevel = {
    priority,
    inTime: createFairNode(""),
    late: createFairNode(""),
    credit: 0,
    demand: createRate(now),
    held: new Map(),
    unmet: new Map(),
  };
  levels.push(level);
  levels.sort((left, right) => left.priority - right.priority);
  return level;
}

function treeOf(
  { inTime, late }: PriorityLevel,
  { isLate }: Waiter,
): FairNode<Waiter> {
  return isLate ? late : inTime;
}

function insert(queue: WaitingQueue, waiter: Waiter): void {
  const level = levelOf(queue, waiter.priority, { now: waiter.since });
  const unitCost = queue.unitCost.value;
  enqueue(treeOf(level, waiter), waiter, {
    view: VIEW,
    weightOf,
    unitCost,
    front: waiter.isReturned,
  });
  queue.waiters.set(waiter.request, waiter);
}

/** Records the cost of a request that has arrived. */
export function recordDemand(
  queue: WaitingQueue,
  { priority, cost }: { priority: number; cost: number },
  { now }: { now: number },
): void {
  const options = { now, windowMs: DEMAND_WINDOW_MS };
  addAmount(queue.demand, cost, options);
  addAmount(levelOf(queue, priority, { now }).demand, cost, options);
  addSample(queue.unitCost, cost, { weight: UNIT_COST_WEIGHT });
}

/** Returns whether a waiting request is among those that can be in time. */
export function waitClassOf({ isLate }: Waiter): WaitClass {
  return isLate ? "late" : "in_time";
}

/** What is known of a request before it is in the queue. */
export type NewWaiter = Omit<Waiter, "isGone" | "isReturned" | "expectedMs">;

/** Adds a request to the queue: before the others of its route and team where it was sent before. */
export function addWaiter(
  queue: WaitingQueue,
  waiter: NewWaiter,
  { isReturned = false }: { isReturned?: boolean } = {},
): Waiter {
  const added: Waiter = {
    ...waiter,
    isReturned,
    isGone: false,
    expectedMs: undefined,
  };
  insert(queue, added);
  return added;
}

/** Removes a request from the queue; does nothing where it is not in it. */
export function removeWaiter(queue: WaitingQueue, request: string): void {
  const waiter = queue.waiters.get(request);
  if (waiter === undefined) return;
  const level = levelOf(queue, waiter.priority, { now: waiter.since });
  removeWaiting(treeOf(level, waiter), waiter, { view: VIEW });
  waiter.isGone = true;
  queue.waiters.delete(request);
}

/** Moves a request behind all that can still be in time. */
export function moveToLate(
  queue: WaitingQueue,
  waiter: Waiter,
  { now }: { now: number },
): Waiter {
  removeWaiter(queue, waiter.request);
  const late: Waiter = {
    ...waiter,
    since: now,
    expectedMs: undefined,
    isLate: true,
    isGone: false,
  };
  insert(queue, late);
  return late;
}

/** Returns whether a level has had less than its minimum share of the starts. */
export function isBelowMinimum(
  { levels }: WaitingQueue,
  level: PriorityLevel,
): boolean {
  return level.credit > 0 && level !== levels[0];
}

/**
 * Yields the first waiting request of each route and team in the order in which they are served: levels below their
 * minimum share, then by priority, then the late ones by priority.
 */
export function* waitersInOrder(
  queue: WaitingQueue,
): Generator<Waiter, void> {
  const { levels } = queue;
  for (const level of levels) {
    if (isBelowMinimum(queue, level)) {
      yield* headsInOrder(level.inTime, ORDER);
    }
  }
  for (const { inTime } of levels) yield* headsInOrder(inTime, ORDER);
  for (const { late } of levels) yield* headsInOrder(late, ORDER);
}

/** Returns how many waiting requests are expected to start before this one, the last of its route and team. */
export function waitersAhead({ levels }: WaitingQueue, waiter: Waiter): number {
  let ahead = 0;
  for (const level of levels) {
    const { priority, inTime, late } = level;
    if (priority === waiter.priority) {
      const isFirst = waiter.isReturned;
      ahead += aheadInOrder(treeOf(level, waiter), waiter.path, { isFirst });
      if (waiter.isLate) ahead += inTime.backlog;
    } else if (waiter.isLate) {
      ahead += inTime.backlog;
      if (priority < waiter.priority) ahead += late.backlog;
    } else if (priority < waiter.priority) ahead += inTime.backlog;
  }
  return ahead;
}

/** Charges a started request to its route and team, and to the minimum shares of all levels. */
export function recordStart(
  queue: WaitingQueue,
  waiter: Waiter,
  { now }: { now: number },
): void {
  const { cost: amount, priority } = waiter;
  const { inTime, late } = levelOf(queue, priority, { now });
  for (const tree of [inTime, late]) {
    charge(tree, waiter, { view: VIEW, amount, weightOf });
  }
  const options = { now, windowMs: DEMAND_WINDOW_MS };
  const total = decayRate(queue.demand, options);
  const limit = MAX_CREDIT_REQUESTS * queue.unitCost.value;
  for (const level of queue.levels) {
    const share = total > 0 ? decayRate(level.demand, options) / total : 0;
    const earned = amount * share * MINIMUM_RATE_SHARE;
    const paid = level.priority === priority ? amount : 0;
    const credit = level.credit + earned - paid;
    level.credit = Math.max(-limit, Math.min(limit, credit));
  }
}

/** Removes what says nothing any more, and lets the ratios of waits to their estimates fade, at intervals. */
export function pruneQueue(
  queue: WaitingQueue,
  { now }: { now: number },
): void {
  if (now - queue.prunedAt < PRUNE_INTERVAL_MS) return;
  queue.prunedAt = now;
  for (const ratio of Object.values(queue.waitRatios)) {
    ratio.value += (1 - ratio.value) * RATIO_RETURN;
  }
  for (const { inTime, late, unmet } of queue.levels) {
    pruneIdle(inTime);
    pruneIdle(late);
    for (const [route, { at }] of unmet) {
      if (now - at > UNMET_MEMORY_MS) unmet.delete(route);
    }
  }
}
