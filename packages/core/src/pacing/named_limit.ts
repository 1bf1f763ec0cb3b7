/**
 * The pace at which this daemon sends to an overloaded runner that names a rate for all daemons together. Each daemon
 * takes a share of the rate.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import type { Gateway, RunnerStats } from "../gateway/types.ts";
import { MIN_REQUESTS_PER_SECOND } from "./constants.ts";
import { limitShareOf } from "./shares.ts";

const MS_PER_SECOND = 1_000;

/** Returns the time between two requests of this daemon to a runner with a limit, ms. */
function intervalOf(gateway: Gateway, requestsPerSecond: number): number {
  const rate = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
  return MS_PER_SECOND / (rate * limitShareOf(gateway));
}

/** Returns the time between two requests of this daemon to a runner, ms; 0 where the runner names no limit. */
export function namedIntervalOf(
  gateway: Gateway,
  { requestsPerSecond }: RunnerStats,
): number {
  if (requestsPerSecond === undefined) return 0;
  return intervalOf(gateway, requestsPerSecond);
}

/** Records the limit that a response names, or that it names none any more, to be passed on with the next sweep. */
export function* hearLimit(
  state: State,
  stats: RunnerStats,
  { requestsPerSecond }: { requestsPerSecond?: number | undefined },
): Effects {
  if (stats.requestsPerSecond === requestsPerSecond) return;
  const { limitChanges } = state.gateway!.readSharing;
  limitChanges.set(stats.runner, requestsPerSecond);
  yield* recordLimit(state, stats, { requestsPerSecond });
}

/** Records the limit of a runner, or that it has none any more. */
export function* recordLimit(
  state: State,
  stats: RunnerStats,
  { requestsPerSecond }: { requestsPerSecond: number | undefined },
): Effects {
  const before = stats.requestsPerSecond;
  stats.requestsPerSecond = requestsPerSecond;
  yield {
    kind: "log",
    event: requestsPerSecond === undefined
      ? "runner_unlimited"
      : "runner_limited",
    fields: { runner: stats.runner, requestsPerSecond, before },
  };
  if (requestsPerSecond === undefined) return;
  const { gateway, now, random } = state;
  const intervalMs = intervalOf(gateway!, requestsPerSecond);
  // Daemons learn of a limit at the same time; their next requests must not come together.
  stats.nextSendAt = before === undefined
    ? now + nextFloat(random) * intervalMs
    : Math.min(stats.nextSendAt, now + intervalMs);
}
