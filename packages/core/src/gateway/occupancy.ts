/**
 * Estimates the requests at a runner from load reports that are rare and old.
 *
 * Where many daemons share many groups, each of them gets a report of any one group only every few seconds, so most of
 * its reports are out of date. The estimate is a weighted mean of the runner's own report, whose weight decays with its
 * age, and of the recent reports of all runners of the same model and availability zone. A group without a recent
 * report therefore counts as neither empty nor full, and a zone that is full as a whole is known to be full.
 *
 * @module
 */
import { isShared } from "./capacity_policy.ts";
import { addSample, createAverage } from "../util/ewma.ts";
import { tupleKey } from "../util/tuple_key.ts";
import {
  ASSUMED_DAEMONS,
  LOAD_DECAY_MS,
  MEAN_LOAD_DECAY_MS,
  MEAN_LOAD_WEIGHT,
  SHARED_REPORT_FRESH_MS,
  WORK_SHARE_WEIGHT,
} from "./constants.ts";
import { canServe, workKey } from "./runner_index.ts";
import type { Gateway, LoadSample, Runner, RunnerStats } from "./types.ts";

function kindOf({ service, model, zone }: Runner): string {
  return tupleKey(service, model, zone);
}

/** Returns the remote requests in a report: those of other daemons. */
function remoteRequestsIn(
  { running, waiting, localInFlight }: LoadSample,
): number {
  return Math.max(0, running + waiting - localInFlight);
}

/** Records a runner's report in the mean of its kind. */
export function recordLoad(
  { meanLoads }: Gateway,
  runner: Runner,
  load: LoadSample,
): void {
  const kind = kindOf(runner);
  const mean = meanLoads.get(kind) ??
    { remoteRequests: createAverage(0), at: load.at };
  addSample(mean.remoteRequests, remoteRequestsIn(load), {
    weight: MEAN_LOAD_WEIGHT,
  });
  mean.at = load.at;
  meanLoads.set(kind, mean);
}

/** Returns the remote requests expected at a runner without a recent report; undefined where its kind has no report. */
function expectedRemoteRequests(
  { meanLoads }: Gateway,
  runner: Runner,
  now: number,
): number | undefined {
  const mean = meanLoads.get(kindOf(runner));
  if (mean === undefined) return undefined;
  return mean.remoteRequests.value *
    Math.exp((mean.at - now) / MEAN_LOAD_DECAY_MS);
}

/**
 * Estimates the requests at a runner, running and queued.
 *
 * @example
 * ```ts
 * occupancyOf(gateway, { runner, stats }, now); // 3 local requests and 6 remote ones: 9
 * ```
 */
export function occupancyOf(
  gateway: Gateway,
  { runner, stats }: { runner: Runner; stats: RunnerStats },
  now: number,
): number {
  const { load, inFlight } = stats;
  if (isReportedInZone(gateway, runner, now)) {
    return inFlight + sharedRemoteRequests(load, now);
  }
  const mean = expectedRemoteRequests(gateway, runner, now);
  const expected = mean === undefined
    ? undefined
    : mean * filledShareOf(gateway, { runner, stats }, now);
  if (load === undefined) {
    return expected === undefined
      ? inFlight * ASSUMED_DAEMONS
      : inFlight + expected;
  }
  const reportWeight = Math.exp((load.at - now) / LOAD_DECAY_MS);
  const reported = remoteRequestsIn(load);
  return inFlight + reportWeight * reported +
    (1 - reportWeight) * (expected ?? reported);
}

/**
 * Returns how far a group that has just opened has filled, 0 to 1, where it gets what all groups of its kind complete.
 *
 * The mean of its kind would keep all daemons away from an empty group, beside others that are full.
 */
function filledShareOf(
  { runnerIndex }: Gateway,
  { runner, stats: { openedAt } }: { runner: Runner; stats: RunnerStats },
  now: number,
): number {
  if (openedAt === undefined) return 1;
  const groups = runnerIndex.get(workKey(runner))?.size ?? 1;
  return Math.min(1, (now - openedAt) * groups / LOAD_DECAY_MS);
}

/**
 * Returns whether the daemons that use a runner pass on its reports, so that a missing one says something: those of its
 * own zone do, while the daemons of other zones share nothing with this one.
 */
function isReportedInZone(
  gateway: Gateway,
  runner: Runner,
  now: number,
): boolean {
  const { loadSharing, zone } = gateway;
  return runner.zone === zone && isShared(gateway, runner) &&
    now - loadSharing.heardAt <= SHARED_REPORT_FRESH_MS;
}

/**
 * Returns the remote requests at a runner whose reports the daemons of the zone share.
 *
 * A runner without a recent report has had no request of any of them; the mean of the others would be that of the few
 * that are full, and keep all daemons away from an idle one.
 */
function sharedRemoteRequests(
  load: LoadSample | undefined,
  now: number,
): number {
  if (load === undefined) return 0;
  const staleMs = Math.max(0, now - load.at - SHARED_REPORT_FRESH_MS);
  return remoteRequestsIn(load) * Math.exp(-staleMs / LOAD_DECAY_MS);
}

/**
 * Records this daemon's current share of the requests at all runners in its mean.
 *
 * The shares of all daemons add up to about one, however unevenly callers are spread over them; not while requests hang,
 * which each daemon takes for its own work only.
 */
export function recordWorkShare(gateway: Gateway, now: number): void {
  let local = 0;
  let total = 0;
  for (const runner of gateway.runners.values()) {
    const expected = expectedRemoteRequests(gateway, runner, now);
    if (expected === undefined || !canServe(runner)) continue;
    const inFlight = gateway.runnerStats.get(runner.id)?.inFlight ?? 0;
    local += inFlight;
    total += inFlight + expected;
  }
  if (total === 0) return;
  addSample(gateway.workShare, local / total, { weight: WORK_SHARE_WEIGHT });
}
