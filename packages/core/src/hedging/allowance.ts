/**
 * Limits the hedged requests of this daemon to a share of its requests.
 *
 * Each request earns a part of a hedged request, and a process starts with none. In any window all daemons together
 * therefore send no more than the share of the requests in it, and what each had saved up before.
 *
 * @module
 */
import { MAX_SAVED_HEDGES } from "./constants.ts";
import type { HedgeAllowance } from "./types.ts";

/** Adds what one request to the service earns. */
export function earnHedge(
  allowance: HedgeAllowance,
  { maxShare }: { maxShare: number },
): void {
  allowance.left = Math.min(MAX_SAVED_HEDGES, allowance.left + maxShare);
}

/** Returns whether a hedged request may be sent. */
export function hasHedge({ left }: HedgeAllowance): boolean {
  return left >= 1;
}
