/**
 * Keeps the requests of this daemon to a runner at the pace that the runner takes: by a limit that it names, and by its
 * cold start. The slower one counts.
 *
 * Requests are spread evenly in time. Unused time is not saved up, since many daemons that had saved up a request each
 * would exceed the limit at once.
 *
 * @module
 */
import { isPastBackoff } from "../gateway/runner_backoff.ts";
import type { Runner, RunnerStats } from "../gateway/types.ts";
import type { State } from "../state/types.ts";
import { coldIntervalOf } from "./cold_pace.ts";
import { namedIntervalOf } from "./named_limit.ts";

/** A runner with what this daemon has learned of it. */
export interface PacedRunner {
  runner: Runner;
  stats: RunnerStats;
}

function isDue(
  { nextSendAt }: RunnerStats,
  { intervalMs, now }: { intervalMs: number; now: number },
): boolean {
  if (intervalMs === 0) return true;
  return Number.isFinite(intervalMs) && now >= nextSendAt;
}

/** Returns whether the cold start of a runner allows a request of this daemon now. */
export function isWithinColdPace(
  state: State,
  { runner, stats }: PacedRunner,
): boolean {
  const intervalMs = coldIntervalOf(state, runner);
  return isDue(stats, { intervalMs, now: state.now });
}

/** Returns whether a runner takes a request of this daemon now: its pace allows one, and it asks for no back-off. */
export function mayReceive(state: State, paced: PacedRunner): boolean {
  const { gateway, now } = state;
  const { stats } = paced;
  if (!isPastBackoff(stats, now)) return false;
  const { heldBack } = gateway!.pacing;
  if (!isWithinColdPace(state, paced)) {
    heldBack.cold += 1;
    return false;
  }
  const intervalMs = namedIntervalOf(gateway!, stats);
  const isWithinLimit = isDue(stats, { intervalMs, now });
  if (!isWithinLimit) heldBack.limited += 1;
  return isWithinLimit;
}

/** Counts a request that is sent to a runner towards its pace. */
export function countSend(state: State, { runner, stats }: PacedRunner): void {
  const intervalMs = Math.max(
    coldIntervalOf(state, runner),
    namedIntervalOf(state.gateway!, stats),
  );
  if (intervalMs > 0) stats.nextSendAt = state.now + intervalMs;
}

/** Counts a request of another daemon that is sent to a runner; its limit is counted where the request comes from. */
export function countForward(
  state: State,
  { runner, stats }: PacedRunner,
): void {
  const intervalMs = coldIntervalOf(state, runner);
  if (intervalMs > 0) stats.nextSendAt = state.now + intervalMs;
}
