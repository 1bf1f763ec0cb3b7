/**
 * Keeps what this daemon has learned of each runner by sending requests to it.
 *
 * @module
 */
import { LIMIT_MEMORY_MS } from "./constants.ts";
import { isBackingOff } from "./runner_backoff.ts";
import type { Gateway, RunnerStats } from "./types.ts";

/** Drops the stats of runners that are gone and have no request left; limits and back-offs are kept for a while. */
export function pruneRunnerStats(
  { runnerStats, runners }: Gateway,
  now: number,
): void {
  for (const [id, stats] of runnerStats) {
    if (runners.has(id) || stats.inFlight > 0) continue;
    const isLimited = stats.requestsPerSecond !== undefined &&
      now - stats.lastSeenAt < LIMIT_MEMORY_MS;
    if (!isLimited && !isBackingOff(stats, now)) runnerStats.delete(id);
  }
}

/** Returns the stats of a runner, created where there are none yet. */
export function runnerStatsOf(gateway: Gateway, runner: string): RunnerStats {
  let stats = gateway.runnerStats.get(runner);
  if (stats === undefined) {
    stats = {
      runner,
      inFlight: 0,
      streaming: 0,
      load: undefined,
      openedAt: undefined,
      requestsPerSecond: undefined,
      nextSendAt: -Infinity,
      backoff: undefined,
      avoidUntil: -Infinity,
      avoidForwardedUntil: -Infinity,
      unreachedBy: new Set(),
      failures: 0,
      lastSeenAt: -Infinity,
    };
    gateway.runnerStats.set(runner, stats);
  }
  return stats;
}
