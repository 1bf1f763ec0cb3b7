/**
 * Estimates the requests at a runner from load reports that are rare and old.
 *
 * Where many daemons share many groups, each of them gets a report of any one group only every few seconds, so most of
 * its reports are out of date. The weight of a report decays with its age; the mean of the recent reports of the
 * runners of the same model and availability zone takes its place. A group without a recent report therefore counts as
 * neither empty nor full, and a zone that is full as a whole is known to be full.
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

/** Returns the remote requests in a report: those of other daemons. */
function othersIn({ running, waiting, own }: LoadSample): number {
  return Math.max(0, running + waiting - own);
}

/** Records a runner's report in the mean of its kind. */
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

/** Returns the remote requests expected at a runner without a recent report; undefined where its kind has no report. */
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
 * Estimates the requests at a runner, running and queued.
 *
 * @example
 * ```ts
 * occupancyOf(gateway, { runner, target }, now); // 3 local requests and 6 remote ones: 9
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
 * Records this daemon's current share of the requests at all runners in its mean.
 *
 * A daemon does not know how many others there are. Its share of the requests serves instead: the shares add up to one
 * over all daemons, however unevenly callers are spread over them.
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
