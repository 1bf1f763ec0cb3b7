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
  ABSENT_CHECK_INTERVAL_MS,
  DEAD_AFTER_FAILURES,
  HEALTH_CHECK_INTERVAL_MS,
  HEALTH_CHECK_MS_PER_MEMBER,
  MAX_CHECKS_PER_ROUND_AND_CORE,
} from "./constants.ts";
import type { Gateway, Runner } from "../gateway/types.ts";
import { type GroupView, isPresumedDead } from "./group_view.ts";
import type { HealthCheck, HealthStatus } from "./types.ts";

/** A member that is due for a health check. */
interface DueCheck {
  runner: Runner;
  /** The last check; undefined before the first one. */
  last: HealthCheck | undefined;
}

/**
 * Sends health checks to group members whose last check is older than the interval: those in doubt first, then those
 * that were checked longest ago. Each round sends only as many as its VM carries out without being late.
 */
export function* checkGroupMembers(state: State, views: GroupView[]): Effects {
  const { groupPlanner, readSharing } = state.gateway!;
  const cores = readSharing.self?.cores ?? 1;
  const limit = Math.ceil(MAX_CHECKS_PER_ROUND_AND_CORE * cores);
  const due = listDueChecks(state, views).sort(byUrgency).slice(0, limit);
  for (const { runner, last } of due) {
    const { id, address, startedUnixMs: runnerStartedUnixMs } = runner;
    const isSameProcess = last?.runnerStartedUnixMs === runnerStartedUnixMs;
    groupPlanner.healthChecks.set(id, {
      sentAt: state.now,
      isPending: true,
      failures: isSameProcess ? last.failures : 0,
      runnerStartedUnixMs,
      report: isSameProcess ? last.report : undefined,
    });
    yield { kind: "check_runner", runner: id, address };
  }
}

function listDueChecks(
  { gateway, now }: State,
  views: GroupView[],
): DueCheck[] {
  const { groupPlanner, runnerStats } = gateway!;
  const members = views.flatMap(({ members }) => members)
    .filter((each) => each !== undefined);
  const intervalMs = Math.max(
    HEALTH_CHECK_INTERVAL_MS,
    members.length * HEALTH_CHECK_MS_PER_MEMBER,
  );
  const due = members.flatMap((runner) => {
    const last = groupPlanner.healthChecks.get(runner.id);
    if (last?.isPending) return [];
    // It has just answered this daemon, and wants nothing from it.
    const stats = runnerStats.get(runner.id);
    if (stats !== undefined && isBackingOff(stats, now)) return [];
    // A failed check is repeated soon: the group stands still if its member is dead.
    const dueMs = isDoubtful(last, runner)
      ? HEALTH_CHECK_INTERVAL_MS
      : intervalMs;
    const isDue = last === undefined || now - last.sentAt >= dueMs;
    return isDue ? [{ runner, last }] : [];
  });
  return [...due, ...listDueAbsent(gateway!, { members, now })];
}

/** Lists runners in no group that were presumed dead and are still listed: they may be back. */
function listDueAbsent(
  { groupPlanner, runners }: Gateway,
  { members, now }: { members: readonly Runner[]; now: number },
): DueCheck[] {
  const ids = new Set(members.map(({ id }) => id));
  return [...groupPlanner.healthChecks].flatMap(([id, last]) => {
    const runner = runners.get(id);
    if (runner === undefined || ids.has(id) || last.isPending) return [];
    const isAbsent = isPresumedDead(groupPlanner, runner);
    const isDue = now - last.sentAt >= ABSENT_CHECK_INTERVAL_MS;
    return isAbsent && isDue ? [{ runner, last }] : [];
  });
}

/** Orders checks by doubt, then by the age of the last one. */
function byUrgency(left: DueCheck, right: DueCheck): number {
  const doubt = ({ runner, last }: DueCheck) =>
    isDoubtful(last, runner) ? 1 : 0;
  const sentAt = ({ last }: DueCheck) => last?.sentAt ?? -1;
  return doubt(right) - doubt(left) || sentAt(left) - sentAt(right);
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
