/**
 * Keeps the requests to an overloaded runner within what it asks for: a rate for all daemons together, or a back-off.
 *
 * Each daemon takes a share of a rate, and spreads its requests evenly in time: unused time is not saved up, since
 * many daemons that had saved up a request each would exceed the limit at once.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import {
  MAX_LIMIT_SHARE_FACTOR,
  MIN_LIMIT_SHARE_FACTOR,
  MIN_REQUESTS_PER_SECOND,
} from "./constants.ts";
import { isPastBackoff } from "./runner_backoff.ts";
import type { Gateway, RunnerStats } from "./types.ts";

const MS_PER_SECOND = 1_000;

/**
 * Returns this daemon's share of a limit: its share of the work, kept near an equal one so that the shares of all
 * daemons add up to little more than the limit whatever they estimate.
 */
function limitShareOf({ readSharing, workShare }: Gateway): number {
  const { self, daemons } = readSharing;
  if (self === undefined || daemons === undefined) return workShare.value;
  const equalShare = 1 / (daemons.size + 1);
  return Math.min(
    MAX_LIMIT_SHARE_FACTOR * equalShare,
    Math.max(MIN_LIMIT_SHARE_FACTOR * equalShare, workShare.value),
  );
}

/** Returns the time between two requests of this daemon to a runner with a limit, ms. */
function intervalOf(gateway: Gateway, requestsPerSecond: number): number {
  const rate = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
  return MS_PER_SECOND / (rate * limitShareOf(gateway));
}

/** Returns whether a runner takes a request of this daemon now, by what it has asked for. */
export function mayReceive(stats: RunnerStats, now: number): boolean {
  const { requestsPerSecond, nextSendAt } = stats;
  const isWithinLimit = requestsPerSecond === undefined || now >= nextSendAt;
  return isWithinLimit && isPastBackoff(stats, now);
}

/** Counts a request that is sent to a runner towards its limit. */
export function countLimitedSend(
  gateway: Gateway,
  stats: RunnerStats,
  now: number,
): void {
  if (stats.requestsPerSecond === undefined) return;
  stats.nextSendAt = now + intervalOf(gateway, stats.requestsPerSecond);
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
