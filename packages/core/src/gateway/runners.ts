/**
 * Handles reads of the runner list.
 *
 * @module
 */
import { recordEntry } from "../cold_start/mod.ts";
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { forgetEvidence } from "../load/ejection.ts";
import { recordUnlisted } from "../formation/unlisted.ts";
import { publishRunners } from "../read_sharing/publish.ts";
import { laterOf } from "../store_timeline/position.ts";
import { confirm } from "./freshness.ts";
import {
  hasDeparted,
  isRewriting,
  recordDeparture,
} from "../store_timeline/timeline.ts";
import { withLeaving } from "./leaving.ts";
import { forgetBackoff } from "./runner_backoff.ts";
import { pruneRunnerStats, runnerStatsOf } from "./runner_stats.ts";
import { canServe, indexRunner, removeRunner } from "./runner_index.ts";
import { serveWaiting } from "./send.ts";
import type { Gateway, Runner } from "./types.ts";

/** Handles a read of the runner list: its changes, or the complete list. */
export function* applyRunners(
  state: State,
  event: EventOf<"runners_read">,
): Effects {
  const gateway = state.gateway!;
  const { runners, isWhole, confirmedAt } = event;
  const { readSharing } = gateway;
  const isPassedOn = confirmedAt === undefined;
  const departedIds = new Set(event.departedIds);
  readSharing.runnersPosition = laterOf(
    readSharing.runnersPosition,
    event.position,
  );
  if (!isPassedOn) confirm(gateway.runnersFreshness, confirmedAt);
  if (!isPassedOn && isWhole) readSharing.hasWholeList = true;
  const removedIds = findRemoved(state, event);
  for (const id of removedIds) {
    // An upstream also removes runners that serve no requests any more.
    if (!isPassedOn || departedIds.has(id)) {
      recordDeparture(gateway, id, state.now);
    }
    yield* applyRemoval(gateway, id, { isPassedOn, now: state.now });
  }
  if (removedIds.length > 0) pruneRunnerStats(gateway, state.now);
  for (const runner of runners) {
    if (!gateway.runners.has(runner.id)) gateway.lastRunnerAddedAt = state.now;
    yield* applyEntry(state, runner, { isWhole });
  }
  if (!isPassedOn) {
    yield* publishRunners(state, { read: runners, removedIds });
  }
  for (const key of gateway.waitingRequests.keys()) {
    yield* serveWaiting(state, gateway, key);
  }
}

/** Returns the runners that a read shows to be gone. */
function findRemoved(
  { gateway, now }: State,
  { runners, removedIds, isWhole, confirmedAt }: EventOf<"runners_read">,
): string[] {
  if (!isWhole) return removedIds;
  const isFromStore = confirmedAt !== undefined;
  // A store from an older copy does not list yet those that came after the copy.
  if (isFromStore && isRewriting(gateway!.storeTimeline, now)) return [];
  return findUnlisted(gateway!, runners);
}

function findUnlisted(gateway: Gateway, runners: Runner[]): string[] {
  const listed = new Set(runners.map(({ id }) => id));
  return [...gateway.runners.keys()].filter((id) => !listed.has(id));
}

function* applyRemoval(
  gateway: Gateway,
  id: string,
  { isPassedOn, now }: { isPassedOn: boolean; now: number },
): Effects {
  const known = gateway.runners.get(id);
  if (known === undefined) return;
  removeRunner(gateway, id);
  if (!isPassedOn) recordUnlisted(gateway, known, now);
  if (!gateway.unlistedMembers.has(id)) {
    gateway.groupPlanner.healthChecks.delete(id);
  }
  // An upstream does not pass on runners that serve no requests, so their absence says nothing.
  if (isPassedOn && !canServe(known)) return;
  yield { kind: "log", event: "runner_gone", fields: { runner: id } };
}

/** Returns why an entry of a runner is out of date; undefined where it is current. */
function findOutdated(
  { gateway, now }: State,
  runner: Runner,
): "older_process" | "older_entry" | "departed" | undefined {
  const known = gateway!.runners.get(runner.id);
  if (known === undefined) {
    const isGone = hasDeparted(gateway!.storeTimeline, runner, now);
    return isGone ? "departed" : undefined;
  }
  if (runner.startedUnixMs !== known.startedUnixMs) {
    return runner.startedUnixMs < known.startedUnixMs
      ? "older_process"
      : undefined;
  }
  const isOlder = (runner.writeCount ?? 0) < (known.writeCount ?? 0);
  return isOlder ? "older_entry" : undefined;
}

function logIgnored(
  { id, state, startedUnixMs, writeCount }: Runner,
  cause: string,
) {
  return {
    kind: "log" as const,
    event: "runner_entry_ignored" as const,
    fields: { runner: id, cause, state, born: startedUnixMs, writeCount },
  };
}

/** Returns whether two entries of a runner say the same of what decisions depend on. */
function describesSame(known: Runner, runner: Runner): boolean {
  const before = known.membership;
  const { membership } = runner;
  return known.state === runner.state &&
    known.startedUnixMs === runner.startedUnixMs &&
    before?.group === membership?.group &&
    before?.epoch === membership?.epoch &&
    before?.state === membership?.state &&
    known.staged[0] === runner.staged[0];
}

/** Records that a runner has become the head of a group that has just opened: what was known of its load is over. */
function noteOpening(
  { gateway, now }: State,
  { known, runner }: { known: Runner | undefined; runner: Runner },
): void {
  if (runner.membership?.state !== "open") return;
  const wasOpen = known?.membership?.state === "open" &&
    known.membership.epoch === runner.membership.epoch;
  if (wasOpen) return;
  const stats = runnerStatsOf(gateway!, runner.id);
  stats.load = undefined;
  stats.openedAt = now;
}

function* applyEntry(
  state: State,
  read: Runner,
  { isWhole }: { isWhole: boolean },
): Effects {
  const gateway = state.gateway!;
  const runner = withLeaving(gateway, read);
  const known = gateway.runners.get(runner.id);
  if (known === runner) return;
  const isSame = known !== undefined && describesSame(known, runner);
  const cause = findOutdated(state, runner);
  if (cause !== undefined) {
    if (!isSame) yield logIgnored(runner, cause);
    return;
  }
  indexRunner(gateway, runner);
  yield* recordEntry(state, { known, read: runner });
  const stats = gateway.runnerStats.get(runner.id);
  if (stats !== undefined) forgetBackoff(stats, runner);
  const isRestarted = known !== undefined &&
    known.startedUnixMs !== runner.startedUnixMs;
  if (isRestarted && stats !== undefined) {
    stats.load = undefined;
    gateway.loadSharing.runnerLoads.delete(runner.id);
    stats.requestsPerSecond = undefined;
  }
  const { membership } = runner;
  const isSameGroup = known !== undefined && !isRestarted &&
    known.membership?.epoch === membership?.epoch;
  if (!isSameGroup) forgetEvidence(state, runner.id);
  if (!isWhole) noteOpening(state, { known, runner });
  if (isSame) return;
  yield {
    kind: "log",
    event: "runner_changed",
    fields: {
      runner: runner.id,
      state: runner.state,
      born: runner.startedUnixMs,
      group: membership?.group,
      epoch: membership?.epoch,
      rank: membership?.rank,
      place: membership?.state,
      domain: runner.domain,
      staged: runner.staged[0],
    },
  };
}
