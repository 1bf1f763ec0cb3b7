/**
 * Figures of load sharing for metrics.
 *
 * @module
 */
import { canServe } from "../gateway/runner_index.ts";
import type { Gateway } from "../gateway/types.ts";
import { isShared } from "../gateway/capacity_policy.ts";
import { isSlow } from "./slowness.ts";

/** Returns the mean age of the newest load report of each runner, ms; undefined where no report is shared. */
export function reportAgeMs(gateway: Gateway, now: number): number | undefined {
  let sum = 0;
  let count = 0;
  for (const [id, { load }] of gateway.runnerStats) {
    const runner = gateway.runners.get(id);
    if (load === undefined || runner === undefined) continue;
    if (!canServe(runner) || !isShared(gateway, runner)) continue;
    sum += now - load.at;
    count += 1;
  }
  return count === 0 ? undefined : sum / count;
}

/** Returns the number of runners that are left out of the subset since they are slow. */
export function slowRunnerCount({ loadSharing }: Gateway, now: number): number {
  return [...loadSharing.runnerLoads.values()].filter(({ slowness }) =>
    isSlow(slowness, now)
  ).length;
}
