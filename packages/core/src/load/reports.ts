/**
 * Shares the load reports of runners between the daemons of an availability zone.
 *
 * Each daemon of a large fleet hears from a group only every few seconds. Followers send what they have heard to the
 * daemon that they follow, which passes the newest report of each runner on to all its followers.
 *
 * @module
 */
import { recordLoad } from "../gateway/occupancy.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import type { Runner } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  LOAD_BATCH_MS,
  MAX_LOADS_PER_MESSAGE,
  MAX_PENDING_LOADS,
  MAX_REPORT_AGE_MS,
  REPORT_RESOLUTION_MS,
} from "./constants.ts";
import { isShared } from "../gateway/capacity_policy.ts";
import { inFlightAt, pruneRunnerLoads } from "./runner_loads.ts";
import { hearSlowness } from "./slowness.ts";
import type { LoadReport, LoadSharing, PendingLoad } from "./types.ts";

/** Records a runner's report to this daemon, to be passed on. */
export function recordReport(
  { gateway }: State,
  runner: Runner,
  { running, waiting, at }: Pick<PendingLoad, "running" | "waiting" | "at">,
): void {
  if (!isShared(gateway!, runner)) return;
  const slowness = gateway!.loadSharing.pending.get(runner.id)?.slowness;
  addPending(gateway!.loadSharing, runner.id, {
    running,
    waiting,
    at,
    slowness,
  });
}

/** Records an observation of this daemon, to be passed on with the newest report of the runner. */
export function recordObservation(
  { gateway }: State,
  runner: string,
  slowness: number,
): void {
  const load = gateway!.runnerStats.get(runner)?.load;
  if (load === undefined) return;
  const { running, waiting, at } = load;
  addPending(gateway!.loadSharing, runner, { running, waiting, at, slowness });
}

function addPending(
  { pending }: LoadSharing,
  runner: string,
  load: PendingLoad,
): void {
  pending.delete(runner);
  pending.set(runner, load);
  if (pending.size > MAX_PENDING_LOADS) {
    pending.delete(pending.keys().next().value!);
  }
}

/** Takes the reports that are to be passed on now, the newest of each runner; none before the batch is complete. */
export function takeDueReports({ gateway, now }: State): LoadReport[] {
  const { loadSharing } = gateway!;
  const { pending } = loadSharing;
  if (pending.size === 0 || now < loadSharing.nextPassAt) return [];
  loadSharing.nextPassAt = now + LOAD_BATCH_MS;
  pruneRunnerLoads(gateway!);
  const reports: LoadReport[] = [];
  for (const [runner, { running, waiting, at, slowness }] of pending) {
    const ageMs = Math.round(now - at);
    if (ageMs > MAX_REPORT_AGE_MS) continue;
    reports.push({
      runner,
      running,
      waiting,
      ageMs,
      ...(slowness !== undefined && { slowness }),
    });
  }
  pending.clear();
  return reports.slice(-MAX_LOADS_PER_MESSAGE);
}

/** Handles reports that other daemons have heard. */
export function* applyReports(
  state: State,
  reports: readonly LoadReport[],
): Effects {
  for (const report of reports.slice(0, MAX_LOADS_PER_MESSAGE)) {
    const runner = state.gateway!.runners.get(report.runner);
    if (runner === undefined || !isShared(state.gateway!, runner)) continue;
    if (report.ageMs > MAX_REPORT_AGE_MS) continue;
    state.gateway!.loadSharing.heardAt = state.now;
    yield* applyReport(state, runner, report);
  }
}

function* applyReport(
  state: State,
  runner: Runner,
  { running, waiting, ageMs, slowness }: LoadReport,
): Effects {
  const gateway = state.gateway!;
  const { loadSharing, readSharing } = gateway;
  const stats = runnerStatsOf(gateway, runner.id);
  const at = state.now - ageMs;
  // A report from before the runner's group opened is of another group.
  const knownAt = stats.load?.at ?? stats.openedAt ?? -Infinity;
  const isNewer = at > knownAt + REPORT_RESOLUTION_MS;
  if (isNewer) {
    const localInFlight = inFlightAt(state, stats, at);
    stats.load = { running, waiting, at, localInFlight };
    recordLoad(gateway, runner, stats.load);
  }
  const isNewObservation = slowness !== undefined &&
    (yield* hearSlowness(state, runner.id, slowness));
  if (!readSharing.isReading || !(isNewer || isNewObservation)) return;
  const pending = loadSharing.pending.get(runner.id);
  const load = stats.load!;
  addPending(loadSharing, runner.id, {
    running: load.running,
    waiting: load.waiting,
    at: load.at,
    slowness: isNewObservation ? slowness : pending?.slowness,
  });
}
