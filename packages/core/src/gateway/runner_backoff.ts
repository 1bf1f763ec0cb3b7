/**
 * Keeps requests away from a runner that turned one away and said for how long it wants none.
 *
 * The first request after that time goes alone, and more follow once it has an answer, so that the daemons do not
 * overload the runner again together.
 *
 * @module
 */
import { mayUse, type PlacedRequest } from "../placement/may_use.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import {
  BACKOFF_JITTER,
  BACKOFF_TRIAL_MS,
  MAX_BACKOFF_MS,
  RETRY_AFTER_MS,
} from "./constants.ts";
import type { Refusal } from "./lookup.ts";
import { candidatesFor, type WorkKind } from "./runner_index.ts";
import type { RunnerStats } from "./types.ts";

/** Records that a runner wants no requests for a while; the longest time that it has asked for counts. */
export function* hearBackoff(
  { now, random }: State,
  stats: RunnerStats,
  { backoffMs, startedUnixMs }: { backoffMs: number; startedUnixMs: number },
): Effects {
  const ms = Math.min(MAX_BACKOFF_MS, backoffMs);
  const until = now + ms * (1 + BACKOFF_JITTER * nextFloat(random));
  const before = stats.backoff?.until;
  stats.backoff = {
    until: Math.max(before ?? until, until),
    triedAt: -Infinity,
    startedUnixMs,
  };
  yield {
    kind: "log",
    event: "runner_backoff",
    fields: {
      runner: stats.runner,
      backoffMs: Math.round(ms),
      untilMs: Math.round(stats.backoff.until - now),
      beforeMs: before && Math.round(before - now),
      inFlight: stats.inFlight,
    },
  };
}

/** Returns whether a runner wants no requests now. */
export function isBackingOff({ backoff }: RunnerStats, now: number): boolean {
  return backoff !== undefined && now < backoff.until;
}

/** Returns whether a runner may be asked: it has had its back-off, and no other request since then waits for an answer. */
export function isPastBackoff({ backoff }: RunnerStats, now: number): boolean {
  if (backoff === undefined) return true;
  return now >= backoff.until && now - backoff.triedAt >= BACKOFF_TRIAL_MS;
}

/** Records a request to a runner, the first one after its back-off. */
export function noteTrial({ backoff }: RunnerStats, now: number): void {
  if (backoff !== undefined) backoff.triedAt = now;
}

/** Records an answer of a runner that asks for no back-off. */
export function endBackoff(stats: RunnerStats, now: number): void {
  if (!isBackingOff(stats, now)) stats.backoff = undefined;
}

/** Drops the back-off that an earlier process of a runner asked for. */
export function forgetBackoff(
  stats: RunnerStats,
  { startedUnixMs }: { startedUnixMs: number },
): void {
  if (stats.backoff?.startedUnixMs !== startedUnixMs) stats.backoff = undefined;
}

/** Returns the time until the first of the runners for a kind of work may be asked, ms; undefined where one may be now. */
export function backoffLeft(
  state: State,
  kind: WorkKind & PlacedRequest,
): number | undefined {
  const { gateway, now } = state;
  let first = Infinity;
  for (const runner of candidatesFor(gateway!, kind)) {
    if (!mayUse(state, kind, runner)) continue;
    const stats = gateway!.runnerStats.get(runner.id);
    if (stats === undefined || !isBackingOff(stats, now)) return undefined;
    first = Math.min(first, stats.backoff!.until);
  }
  return Number.isFinite(first) ? first - now : undefined;
}

/** Returns when a refused caller should come back, ms: not before a runner may be asked, and not all callers at once. */
export function retryAfter(
  state: State,
  kind: WorkKind & PlacedRequest,
): number {
  const left = backoffLeft(state, kind);
  if (left === undefined) return RETRY_AFTER_MS;
  return Math.ceil(left * (1 + BACKOFF_JITTER * nextFloat(state.random)));
}

/** Returns the refusal of a request whose runners all want none until later. */
export function backoffRefusal(
  state: State,
  kind: WorkKind & PlacedRequest,
): Refusal {
  return {
    code: "overloaded",
    message: "All runners have asked for a pause; try again after it",
    retryAfterMs: retryAfter(state, kind),
  };
}

/** Returns whether a request cannot be served in time, as all runners for it want none until later. */
export function isHopeless(
  state: State,
  request: WorkKind & PlacedRequest & { waitUntil: number },
): boolean {
  const left = backoffLeft(state, request);
  return left !== undefined && state.now + left > request.waitUntil;
}
