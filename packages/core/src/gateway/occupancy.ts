/**
 * Estimates how full a runner is from reports that are seldom and old.
 *
 * Answers the load of many daemons before many groups: each of them hears from any one group only every few seconds, so
 * most of what it knows is out of date. A report is worth less the older it is; what takes its place is the mean of what
 * the runners of the same model and availability zone reported lately. A group that was not heard of is therefore
 * neither taken for empty nor for full, and a zone that is full as a whole is known to be so.
 *
 * @module
 */
import { addSample, createAverage } from "../util/ewma.ts";
import {
  LOAD_MEMORY_MS,
  MEAN_LOAD_MEMORY_MS,
  MEAN_LOAD_WEIGHT,
  SHARERS,
  WORK_SHARE_WEIGHT,
} from "./constants.ts";
import type { Gateway, LoadSample, Runner, Target } from "./types.ts";

function kindOf({ service, model, zone }: Runner): string {
  return `${service} ${model ?? ""} ${zone}`;
}

/** Requests of other daemons in a report. */
function othersIn({ running, waiting, own }: LoadSample): number {
  return Math.max(0, running + waiting - own);
}

/** Takes a runner's report into the mean of its kind. */
export function noteLoad(
  { meanLoads }: Gateway,
  runner: Runner,
  load: LoadSample,
): void {
  const kind = kindOf(runner);
  const mean = meanLoads.get(kind) ??
    { others: createAverage(0), at: load.at };
  addSample(mean.others, othersIn(load), { weight: MEAN_LOAD_WEIGHT });
  mean.at = load.at;
  meanLoads.set(kind, mean);
}

/** Expected requests of others at a runner of which nothing newer is known; undefined where none of its kind reported. */
function expectedOthers(
  { meanLoads }: Gateway,
  runner: Runner,
  now: number,
): number | undefined {
  const mean = meanLoads.get(kindOf(runner));
  if (mean === undefined) return undefined;
  return mean.others.value * Math.exp((mean.at - now) / MEAN_LOAD_MEMORY_MS);
}

/**
 * Estimates the requests that a runner has, running and queued.
 *
 * @example
 * ```ts
 * occupancyOf(gateway, { runner, target }, now); // 3 own requests and 6 of others: 9
 * ```
 */
export function occupancyOf(
  gateway: Gateway,
  { runner, target: { load, inFlight } }: { runner: Runner; target: Target },
  now: number,
): number {
  const expected = expectedOthers(gateway, runner, now);
  if (load === undefined) {
    return expected === undefined ? inFlight * SHARERS : inFlight + expected;
  }
  const trust = Math.exp((load.at - now) / LOAD_MEMORY_MS);
  const reported = othersIn(load);
  return inFlight + trust * reported +
    (1 - trust) * (expected ?? reported);
}

/**
 * Takes this daemon's present part of all work before the runners into its mean.
 *
 * Nobody tells a daemon how many others there are; the part of the work that is its own says as much, and sums up to one
 * over all daemons however unevenly callers reach them.
 */
export function noteWorkShare(gateway: Gateway, now: number): void {
  let own = 0;
  let total = 0;
  for (const runner of gateway.runners.values()) {
    const expected = expectedOthers(gateway, runner, now);
    if (expected === undefined || !isServing(runner)) continue;
    const inFlight = gateway.targets.get(runner.id)?.inFlight ?? 0;
    own += inFlight;
    total += inFlight + expected;
  }
  if (total === 0) return;
  addSample(gateway.workShare, own / total, { weight: WORK_SHARE_WEIGHT });
}

function isServing({ state, domain, membership }: Runner): boolean {
  if (state !== "ready") return false;
  if (domain === undefined) return true;
  return membership?.rank === 0 && membership.state === "open";
}
