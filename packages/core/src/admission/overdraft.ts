/**
 * Lets light work start at once although all slots are taken.
 *
 * Slots free up every few tens of milliseconds, but that wait alone would multiply a small caller's first-token time
 * while a large one fills the fleet. A few sequences over the limit cost everyone little, and the learned limit already
 * allows for them, since it is set by the step times that engines report.
 *
 * @module
 */
import { estimateLoad } from "../capacity/load_estimate.ts";
import type { Request } from "../request/types.ts";
import { pathOf } from "../request/types.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { decayRate } from "../util/ewma.ts";
import { isOwed, outranksBatch, ownSlots } from "./shed.ts";

/** Time constant of a caller's use; at one entry a small caller sends only about a request a second. */
export const CALLER_WINDOW_MS = 20_000;
/** Part of this entry's slots that light work may use on top. */
const OVERDRAFT_SHARE = 0.3;
/** A caller below this part of the heaviest one's use is light. */
const LIGHT_SHARE = 0.4;

// Set against the heaviest rather than the mean, so that chance alone makes no caller light among equals.
function isLightCaller(state: State, pool: Pool, request: Request): boolean {
  const options = { now: state.now, windowMs: CALLER_WINDOW_MS };
  const use = pool.callerUse.get(pathOf(request).join("/"));
  return use === undefined ||
    decayRate(use, options) < pool.heaviestUse * LIGHT_SHARE;
}

/** Whether a request is light: its owner or caller is below its share, or only batch work stands in its way. */
export function isLight(state: State, pool: Pool, request: Request): boolean {
  if (request.rank === "batch" || pool.deployment.kind === "service") {
    return false;
  }
  return outranksBatch(state, pool) ||
    isOwed(state, pool, request.principal.owner) ||
    isLightCaller(state, pool, request);
}

/** Whether this entry may start one more light request over its allowance. */
export function mayOverdraw(pool: Pool): boolean {
  return pool.overdrawn < Math.max(1, ownSlots(pool) * OVERDRAFT_SHARE);
}

/** Whether a target can bear one more sequence over its limit, by its newest report and what was sent since. */
export function canBear(target: Target): boolean {
  return target.allowance > 0 &&
    estimateLoad(target) < target.limit * (1 + OVERDRAFT_SHARE);
}

/** Forgets callers that have not used anything of late, and finds the heaviest of the others. */
export function weighCallers(state: State, pool: Pool): void {
  const options = { now: state.now, windowMs: CALLER_WINDOW_MS };
  pool.heaviestUse = 0;
  for (const [caller, use] of pool.callerUse) {
    const perMs = decayRate(use, options);
    if (perMs < MIN_USE_PER_MS) pool.callerUse.delete(caller);
    pool.heaviestUse = Math.max(pool.heaviestUse, perMs);
  }
}

const MIN_USE_PER_MS = 1e-4;
