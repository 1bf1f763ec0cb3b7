/**
 * Shares between the daemons of an availability zone what runners have said of themselves: limits that they have named
 * or dropped, that they leave, and their load; what was observed against them; and how many requests the daemons hold.
 *
 * Each daemon of a large fleet asks a runner with a limit only rarely, and would hold back its requests for long after
 * the limit has ended.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { applyLeaving } from "../gateway/leaving.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import { applyEvidence, takeEvidence } from "../load/ejection.ts";
import { applyReports, takeDueReports } from "../load/reports.ts";
import { recordLimit } from "../pacing/mod.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { applyHoldings, expireHoldings, takeDueHoldings } from "./holdings.ts";
import { passOn } from "./suspects.ts";

/** Handles limits and loads that another daemon has heard of, and runners that have told it that they leave. */
export function* applyLimits(
  state: State,
  event: EventOf<"limits_reported">,
): Effects {
  const gateway = state.gateway!;
  const { limits } = event;
  yield* applyLeaving(state, event);
  yield* applyReports(state, event.loads ?? []);
  yield* applyEvidence(state, event.evidence ?? []);
  applyHoldings(state, event);
  const { limitChanges, isReading } = gateway.readSharing;
  for (const { runner, requestsPerSecond } of limits) {
    if (!gateway.runners.has(runner)) continue;
    const stats = runnerStatsOf(gateway, runner);
    if (stats.requestsPerSecond === requestsPerSecond) continue;
    yield* recordLimit(state, stats, { requestsPerSecond });
    if (isReading) limitChanges.set(runner, requestsPerSecond);
  }
}

/** Passes on what runners have said since the last sweep: limits that changed, that they leave, and their load. */
export function* passOnLimits(state: State): Effects {
  const { limitChanges, newlyLeaving } = state.gateway!.readSharing;
  const loads = takeDueReports(state);
  const evidence = takeEvidence(state);
  yield* expireHoldings(state);
  const holdings = takeDueHoldings(state);
  const count = limitChanges.size + newlyLeaving.length + loads.length +
    evidence.length;
  if (count === 0 && holdings === undefined) return;
  const limits = [...limitChanges].map(([runner, requestsPerSecond]) => ({
    runner,
    requestsPerSecond,
  }));
  limitChanges.clear();
  const leaving = newlyLeaving.splice(0);
  yield* passOn(state, {
    kind: "limits",
    limits,
    leaving,
    ...(loads.length > 0 && { loads }),
    ...(evidence.length > 0 && { evidence }),
    ...(holdings !== undefined && { holdings }),
  });
}
