/**
 * Keeps requests away from a runner that turned one away and said for how long it wants none.
 *
 * The first request after that time goes alone, and more follow once it has an answer, so that the daemons do not
 * overload the runner again together.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import {
  MAX_REST_MS,
  REST_JITTER,
  REST_TRIAL_MS,
  RETRY_AFTER_MS,
} from "./constants.ts";
import type { Refusal } from "./lookup.ts";
import { candidatesFor, type WorkKind } from "./runner_index.ts";
import type { RunnerStats } from "./types.ts";

/** Records that a runner wants no requests for a while; the longest time that it has asked for counts. */
export function* hearRest(
  { now, random }: State,
  stats: RunnerStats,
  { restMs, startedUnixMs }: { restMs: number; startedUnixMs: number },
): Effects {
  const ms = Math.min(MAX_REST_MS, restMs);
  const until = now + ms * (1 + REST_JITTER * nextFloat(random));
  const before = stats.rest?.until;
  stats.rest = {
    until: Math.max(before ?? until, until),
    triedAt: -Infinity,
    startedUnixMs,
  };
  yield {
    kind: "log",
    event: "runner_rests",
    fields: {
      runner: stats.runner,
      restMs: Math.round(ms),
      untilMs: Math.round(stats.rest.until - now),
      beforeMs: before && Math.round(before - now),
      inFlight: stats.inFlight,
    },
  };
}

/** Returns whether a runner wants no requests now. */
export function isResting({ rest }: RunnerStats, now: number): boolean {
  return rest !== undefined && now < rest.until;
}

/** Returns whether a runner may be asked: it has had its rest, and no other request since then waits for an answer. */
export function hasRested({ rest }: RunnerStats, now: number): boolean {
  if (rest === undefined) return true;
  return now >= rest.until && now - rest.triedAt >= REST_TRIAL_MS;
}

/** Records a request to a runner, the first one after its rest. */
export function noteTrial({ rest }: RunnerStats, now: number): void {
  if (rest !== undefined) rest.triedAt = now;
}

/** Records an answer of a runner that asks for no rest. */
export function endRest(stats: RunnerStats, now: number): void {
  if (!isResting(stats, now)) stats.rest = undefined;
}

/** Drops the rest that an earlier process of a runner asked for. */
export function forgetRest(
  stats: RunnerStats,
  { startedUnixMs }: { startedUnixMs: number },
): void {
  if (stats.rest?.startedUnixMs !== startedUnixMs) stats.rest = undefined;
}

/** Returns the time until the first of the runners for a kind of work may be asked, ms; undefined where one may be now. */
export function restLeft(
  { gateway, now }: State,
  kind: WorkKind,
): number | undefined {
  let first = Infinity;
  for (const { id } of candidatesFor(gateway!, kind)) {
    const stats = gateway!.runnerStats.get(id);
    if (stats === undefined || !isResting(stats, now)) return undefined;
    first = Math.min(first, stats.rest!.until);
  }
  return Number.isFinite(first) ? first - now : undefined;
}

/** Returns when a refused caller should come back, ms: not before a runner may be asked, and not all callers at once. */
export function retryAfter(state: State, kind: WorkKind): number {
  const left = restLeft(state, kind);
  if (left === undefined) return RETRY_AFTER_MS;
  return Math.ceil(left * (1 + REST_JITTER * nextFloat(state.random)));
}

/** Returns the refusal of a request whose runners all want none until later. */
export function runnersRest(state: State, kind: WorkKind): Refusal {
  return {
    code: "overloaded",
    message: "All runners have asked for a pause; try again after it",
    retryAfterMs: retryAfter(state, kind),
  };
}

/** Returns whether a request cannot be served in time, as all runners for it want none until later. */
export function isHopeless(
  state: State,
  request: WorkKind & { waitUntil: number },
): boolean {
  const left = restLeft(state, request);
  return left !== undefined && state.now + left > request.waitUntil;
}
