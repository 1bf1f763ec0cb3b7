/**
 * Overdraft: burst concurrency over this entry's allowance, which lets low-usage work start at once although all slots
 * are taken.
 *
 * Slots free up every few tens of milliseconds, but that wait alone would multiply a small caller's first-token time
 * while a large one fills the fleet. A few sequences over the limit slow the others down little, and the learned limit
 * already accounts for them, since it is derived from the step times that engines report.
 *
 * @module
 */
import { estimateLoad } from "../capacity/load_estimate.ts";
import type { Request } from "../request/types.ts";
import { pathOf } from "../request/types.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { decayRate } from "../util/ewma.ts";
import { canFitWithoutBatch, isEntitled, ownSlots } from "./shed.ts";

/** Time constant of a caller's use, ms; at one entry a small caller sends only about one request per second. */
export const CALLER_WINDOW_MS = 20_000;
/** Overdraft for low-usage work, as a share of this entry's slots. */
const OVERDRAFT_SHARE = 0.3;
/** A caller that uses less than this share of the heaviest caller's use is a low-usage caller. */
const LOW_USAGE_SHARE = 0.4;

// Compares with the heaviest caller rather than the mean, so that among equal callers none is low-usage by chance.
function isLowUsageCaller(state: State, pool: Pool, request: Request): boolean {
  const options = { now: state.now, windowMs: CALLER_WINDOW_MS };
  const use = pool.callerUse.get(pathOf(request).join("/"));
  return use === undefined ||
    decayRate(use, options) < pool.heaviestUse * LOW_USAGE_SHARE;
}

/**
 * Whether a request is low-usage work: its owner or caller is below its share, or only batch work holds the slots that
 * it needs.
 */
export function isLowUsage(
  state: State,
  pool: Pool,
  request: Request,
): boolean {
  if (request.rank === "batch" || pool.deployment.kind === "service") {
    return false;
  }
  return canFitWithoutBatch(state, pool) ||
    isEntitled(state, pool, request.principal.owner) ||
    isLowUsageCaller(state, pool, request);
}

/** Whether this entry may start one more low-usage request over its allowance. */
export function canOverdraw(pool: Pool): boolean {
  return pool.overdrawn < Math.max(1, ownSlots(pool) * OVERDRAFT_SHARE);
}

/** Whether a target can run one more sequence over its limit, by its latest report and what was sent since. */
export function acceptsOverdraft(target: Target): boolean {
  return target.allowance > 0 &&
    estimateLoad(target) < target.limit * (1 + OVERDRAFT_SHARE);
}

/** Removes callers without recent use, and records the use of the heaviest of the others. */
export function updateHeaviestUse(state: State, pool: Pool): void {
  const options = { now: state.now, windowMs: CALLER_WINDOW_MS };
  pool.heaviestUse = 0;
  for (const [caller, use] of pool.callerUse) {
    const perMs = decayRate(use, options);
    if (perMs < MIN_USE_PER_MS) pool.callerUse.delete(caller);
    pool.heaviestUse = Math.max(pool.heaviestUse, perMs);
  }
}

/** Callers that use less than this are removed, in cost per ms. */
const MIN_USE_PER_MS = 1e-4;
