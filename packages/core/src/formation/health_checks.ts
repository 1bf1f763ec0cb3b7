/**
 * Checks the health of group members directly, which detects a death before the shared list of runners shows it.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  DEAD_AFTER_FAILURES,
  HEALTH_CHECK_INTERVAL_MS,
  HEALTH_CHECK_MS_PER_MEMBER,
} from "./constants.ts";
import type { GroupView } from "./group_view.ts";

/** Sends a health check to each group member whose last check is older than the interval. */
export function* checkGroupMembers(state: State, views: GroupView[]): Effects {
  const { groupPlanner } = state.gateway!;
  const count = views.reduce((sum, { members }) => sum + members.length, 0);
  const intervalMs = Math.max(
    HEALTH_CHECK_INTERVAL_MS,
    count * HEALTH_CHECK_MS_PER_MEMBER,
  );
  for (const { members } of views) {
    for (const runner of members) {
      if (runner === undefined) continue;
      const check = groupPlanner.healthChecks.get(runner.id);
      if (check?.isPending) continue;
      if (check !== undefined && state.now - check.sentAt < intervalMs) {
        continue;
      }
      const failures = check?.runnerStartedUnixMs === runner.startedUnixMs
        ? check.failures
        : 0;
      groupPlanner.healthChecks.set(runner.id, {
        sentAt: state.now,
        isPending: true,
        failures,
        runnerStartedUnixMs: runner.startedUnixMs,
        report: check?.runnerStartedUnixMs === runner.startedUnixMs
          ? check.report
          : undefined,
      });
      yield {
        kind: "check_runner",
        runner: runner.id,
        address: runner.address,
      };
    }
  }
}

/** Handles the result of a health check. */
export function* recordHealthCheck(
  state: State,
  { runner, alive, report }: EventOf<"runner_checked">,
): Effects {
  const check = state.gateway!.groupPlanner.healthChecks.get(runner);
  if (check === undefined) return;
  check.isPending = false;
  check.failures = alive ? 0 : check.failures + 1;
  check.report = report ?? check.report;
  if (check.failures !== DEAD_AFTER_FAILURES) return;
  yield {
    kind: "log",
    event: "runner_silent",
    fields: { runner, misses: check.failures },
  };
}
