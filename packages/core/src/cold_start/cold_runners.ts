/**
 * Tells which runners are cold, and how much of the usual work those get that have just turned warm.
 *
 * @module
 */
import type { ColdStart, Gateway, Runner } from "../gateway/types.ts";
import type { State } from "../state/types.ts";
import { MIN_SLOW_START_FACTOR } from "./constants.ts";

/** Returns the limit on cold runners of a service; undefined where it has none. */
export function coldStartOf(
  { routing }: Gateway,
  service: string,
): ColdStart | undefined {
  return routing?.services.get(service)?.coldStart;
}

/**
 * Returns the limit on a runner's requests while it is cold; undefined once it is warm.
 *
 * @example
 * ```ts
 * activeColdStart(state, runner)?.requestsPerSecond; // 26 from all daemons together
 * ```
 */
export function activeColdStart(
  { gateway, now }: State,
  { id, service }: Pick<Runner, "id" | "service">,
): ColdStart | undefined {
  const cold = gateway!.coldRunners.get(id);
  if (cold === undefined || now >= cold.until) return undefined;
  return coldStartOf(gateway!, service);
}

/** Returns whether a runner is cold, as far as this daemon knows. */
export function isCold(
  state: State,
  runner: Pick<Runner, "id" | "service">,
): boolean {
  return activeColdStart(state, runner) !== undefined;
}

/**
 * Returns the share of its usual work that a runner gets, 0 to 1. It grows to 1 over the duration of a cold start once
 * the runner is warm. It is 1 while the runner is cold, since the pace of its owners then bounds its work.
 */
export function slowStartFactor(
  { gateway, now }: State,
  { id, service }: Pick<Runner, "id" | "service">,
): number {
  const cold = gateway!.coldRunners.get(id);
  if (cold === undefined || now < cold.until) return 1;
  const durationMs = coldStartOf(gateway!, service)?.durationMs;
  if (durationMs === undefined) return 1;
  const progress = Math.min(1, (now - cold.until) / durationMs);
  return MIN_SLOW_START_FACTOR + (1 - MIN_SLOW_START_FACTOR) * progress;
}

/**
 * Weighs the occupancy of a runner for the choice: one that has just turned warm seems fuller than it is, so that all
 * daemons together do not fill it at once.
 */
export function weighOccupancy(
  state: State,
  runner: Runner,
  { occupancy }: { occupancy: number },
): number {
  const factor = slowStartFactor(state, runner);
  return factor === 1 ? occupancy : (occupancy + 1) / factor - 1;
}
