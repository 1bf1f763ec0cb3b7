/**
 * Shares between the daemons of an availability zone which limits runners have named or dropped.
 *
 * Each daemon of a large fleet asks a runner with a limit only rarely, and would hold back its requests for long after
 * the limit has ended.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { recordLimit } from "../gateway/request_limit.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { passOn } from "./suspects.ts";

/** Handles limits that another daemon has heard of. */
export function* applyLimits(
  state: State,
  { limits }: EventOf<"limits_reported">,
): Effects {
  const gateway = state.gateway!;
  const { limitChanges, isReading } = gateway.readSharing;
  for (const { runner, requestsPerSecond } of limits) {
    if (!gateway.runners.has(runner)) continue;
    const stats = runnerStatsOf(gateway, runner);
    if (stats.requestsPerSecond === requestsPerSecond) continue;
    yield* recordLimit(state, stats, { requestsPerSecond });
    if (isReading) limitChanges.set(runner, requestsPerSecond);
  }
}

/** Passes on the limits that changed since the last sweep. */
export function* passOnLimits(state: State): Effects {
  const { limitChanges } = state.gateway!.readSharing;
  if (limitChanges.size === 0) return;
  const limits = [...limitChanges].map(([runner, requestsPerSecond]) => ({
    runner,
    requestsPerSecond,
  }));
  limitChanges.clear();
  yield* passOn(state, { kind: "limits", limits });
}
