/**
 * Keeps the requests to a runner in need below the rate that it names.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { RunnerStats } from "./types.ts";

/** Records the limit that a response names, or that it names none any more. */
export function* recordLimit(
  stats: RunnerStats,
  { requestsPerSecond }: { requestsPerSecond?: number | undefined },
): Effects {
  if (stats.requestsPerSecond === requestsPerSecond) return;
  const before = stats.requestsPerSecond;
  stats.requestsPerSecond = requestsPerSecond;
  yield {
    kind: "log",
    event: requestsPerSecond === undefined
      ? "runner_unlimited"
      : "runner_limited",
    fields: { runner: stats.runner, requestsPerSecond, before },
  };
}
