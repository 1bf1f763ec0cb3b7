/**
 * Checks the health of group members directly, which detects a death before the shared list of runners shows it.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { isBackingOff } from "../gateway/runner_backoff.ts";
import type { Effects } from "../reduce_types.ts";
import { isOwnFault } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import {
  DEAD_AFTER_FAILURES,
  HEALTH_CHECK_INTERVAL_MS,
  HEALTH_CHECK_MS_PER_MEMBER,
} from "./constants.ts";
import type { Runner } from "../gateway/fleet_types.ts";
import type { GroupView } from "./group_view.ts";
import type { HealthCheck, HealthStatus } from "./types.ts";

/** Sends a health check to each group member whose last check is older than the interval. */
export function* checkGroupMembers(state: State, views: GroupView[]): Effects {
  const { groupPlanner, runnerStats } = state.gateway!;
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
      // It has just answered this daemon, and wants nothing from it.
      const stats = runnerStats.get(runner.id);
      if (stats !== undefined && isBackingOff(stats, state.now)) continue;
      // A failed check is repeated soon: the group stands still if its member is dead.
      const dueMs = isDoubtful(check, runner)
        ? HEALTH_CHECK_INTERVAL_MS
        : intervalMs;
      if (check !== undefined && state.now - check.sentAt < dueMs) continue;
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

/** Returns whether a runner failed its last check, but not often enough to be presumed dead. */
function isDoubtful(
  check: HealthCheck | undefined,
  { startedUnixMs }: Runner,
): boolean {
  return check !== undefined && check.failures > 0 &&
    check.failures < DEAD_AFTER_FAILURES &&
    check.runnerStartedUnixMs === startedUnixMs;
}

/** Consecutive failures after a check, by its result. A runner that does not listen any more is dead without a second check. */
const FAILURES: Readonly<Record<HealthStatus, (before: number) => number>> = {
  alive: () => 0,
  silent: (before) => before + 1,
  refused: (before) => Math.max(before + 1, DEAD_AFTER_FAILURES),
};

/** Handles the result of a health check. */
export function* recordHealthCheck(
  state: State,
  { runner, status, report }: EventOf<"runner_checked">,
): Effects {
  const check = state.gateway!.groupPlanner.healthChecks.get(runner);
  if (check === undefined) return;
  check.isPending = false;
  if (status !== "alive" && isOwnFault(state.gateway!, runner)) return;
  check.report = report ?? check.report;
  const wasDead = check.failures >= DEAD_AFTER_FAILURES;
  check.failures = FAILURES[status](check.failures);
  if (wasDead || check.failures < DEAD_AFTER_FAILURES) return;
  yield {
    kind: "log",
    event: "runner_silent",
    fields: { runner, status, misses: check.failures },
  };
}
