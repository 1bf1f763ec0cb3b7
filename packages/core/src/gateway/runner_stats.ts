/**
 * Keeps what this daemon has learned of each runner by sending requests to it.
 *
 * @module
 */
import type { Gateway, RunnerStats } from "./types.ts";

/** Returns the stats of a runner, created where there are none yet. */
export function runnerStatsOf(gateway: Gateway, runner: string): RunnerStats {
  let stats = gateway.runnerStats.get(runner);
  if (stats === undefined) {
    stats = {
      runner,
      inFlight: 0,
      streaming: 0,
      load: undefined,
      requestsPerSecond: undefined,
      nextSendAt: -Infinity,
      avoidUntil: -Infinity,
      failures: 0,
      lastSeenAt: -Infinity,
    };
    gateway.runnerStats.set(runner, stats);
  }
  return stats;
}
