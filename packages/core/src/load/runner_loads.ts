/**
 * Keeps what the choice by expected time has to know of each runner.
 *
 * @module
 */
import { isShared } from "../gateway/capacity_policy.ts";
import type { Gateway, RunnerStats } from "../gateway/types.ts";
import type { State } from "../state/types.ts";
import { hashFraction } from "../util/hash.ts";
import { tupleKey } from "../util/tuple_key.ts";
import { MAX_REPORT_AGE_MS } from "./constants.ts";
import type { LoadSharing, RunnerLoad } from "./types.ts";

/** Creates the state of load sharing. */
export function createLoadSharing(now: number): LoadSharing {
  return {
    pending: new Map(),
    newEvidence: [],
    nextPassAt: now,
    heardAt: -Infinity,
    runnerLoads: new Map(),
    sendRates: new Map(),
    baselines: new Map(),
  };
}

/** Returns the name by which other daemons know this one. */
export function nodeOf({ gateway, node }: State): string {
  return gateway!.readSharing.self?.node ?? node.name;
}

/** Returns what is kept of a runner, created where it was not used yet. */
export function runnerLoadOf(state: State, runner: string): RunnerLoad {
  const { loadSharing } = state.gateway!;
  let load = loadSharing.runnerLoads.get(runner);
  if (load === undefined) {
    load = {
      affinity: hashFraction(tupleKey(nodeOf(state), runner)),
      inFlightChanges: [],
      slowness: { ratio: 1, at: state.now, isSlow: false, lastOwn: undefined },
      ejection: {
        phase: "serving",
        until: -Infinity,
        triedAt: -Infinity,
        count: 0,
        factor: 1,
        evidence: new Map(),
      },
    };
    loadSharing.runnerLoads.set(runner, load);
  }
  return load;
}

/** Records that a request of this daemon begins (1) or ends (-1) at a runner. */
export function recordInFlight(
  state: State,
  id: string,
  change: 1 | -1,
): void {
  const gateway = state.gateway!;
  const runner = gateway.runners.get(id);
  if (runner === undefined || !isShared(gateway, runner)) return;
  const { inFlightChanges } = runnerLoadOf(state, id);
  while (
    inFlightChanges.length > 0 &&
    inFlightChanges[0]!.at < state.now - MAX_REPORT_AGE_MS
  ) inFlightChanges.shift();
  inFlightChanges.push({ at: state.now, change });
}

/**
 * Returns the requests of this daemon that were at a runner at an earlier time.
 *
 * A report that another daemon heard counts those; without their number at its time they would count twice, or as
 * requests of others.
 */
export function inFlightAt(
  state: State,
  { runner, inFlight }: RunnerStats,
  at: number,
): number {
  const changes = state.gateway!.loadSharing.runnerLoads.get(runner)
    ?.inFlightChanges ?? [];
  let count = inFlight;
  for (let index = changes.length - 1; index >= 0; index--) {
    const change = changes[index]!;
    if (change.at <= at) break;
    count -= change.change;
  }
  return Math.max(0, count);
}

/** Drops what is kept of runners that are gone. */
export function pruneRunnerLoads(
  { loadSharing, runners, runnerStats }: Gateway,
): void {
  for (const id of loadSharing.runnerLoads.keys()) {
    if (runners.has(id) || runnerStats.has(id)) continue;
    loadSharing.runnerLoads.delete(id);
  }
}
