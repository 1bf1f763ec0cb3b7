/**
 * Tells requests that can still be answered within their latency objective from those that no longer can.
 *
 * Answers the load after an outage or a shortage: callers that were refused come back all at once, beside those that
 * have just begun. The time that a caller still grants tells them apart. Late ones are served from what the others
 * leave, since a place that they take first makes one more caller late.
 *
 * @module
 */
import { BUDGET_MEMORY_MS } from "./constants.ts";
import type { Gateway, Route } from "./types.ts";

function fullBudget(
  { callerBudgets }: Gateway,
  { route, deadlineMs, now }: { route: Route; deadlineMs: number; now: number },
): number {
  const known = callerBudgets.get(route.name);
  const remembered = known === undefined
    ? 0
    : known.ms * Math.exp((known.at - now) / BUDGET_MEMORY_MS);
  if (deadlineMs < remembered) return remembered;
  callerBudgets.set(route.name, { ms: deadlineMs, at: now });
  return deadlineMs;
}

/**
 * True where the caller has already waited longer than the route's latency objective.
 *
 * @example
 * ```ts
 * isLate(gateway, { route, deadlineMs: 4_000, now }); // true where others of the route grant 6,000 ms
 * ```
 */
export function isLate(
  gateway: Gateway,
  { route, deadlineMs, now }: {
    route: Route;
    deadlineMs: number | undefined;
    now: number;
  },
): boolean {
  if (deadlineMs === undefined) return false;
  const budget = fullBudget(gateway, { route, deadlineMs, now });
  return budget - deadlineMs > route.targetLatencyMs;
}
