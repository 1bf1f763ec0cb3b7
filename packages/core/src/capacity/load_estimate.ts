/**
 * Estimates the load of a target now from a report of unknown age.
 *
 * Other entries' work is what the report says less what this entry had there on average over the time that reports may
 * lag; its own work is known exactly. A report that is fresh and one that is seconds old give nearly the same answer,
 * and an entry that has just sent work does not send more to the same idle-looking target.
 *
 * @module
 */
import type { Target } from "../state/types.ts";

/** Time over which own attempts are averaged, ms; the lag that reports may have. */
const REPORT_MEMORY_MS = 2_000;

/** Moves the average up to `now`; call before the number of attempts changes. */
export function rememberAttempts(
  { memory, attempts }: Target,
  now: number,
): void {
  const weight = 1 - Math.exp((memory.at - now) / REPORT_MEMORY_MS);
  memory.average += (attempts.size - memory.average) * weight;
  memory.at = now;
}

/** Sequences running or waiting at a target, as far as this entry can tell. */
export function estimateLoad(target: Target): number {
  const { report, attempts, memory } = target;
  if (report === undefined) return attempts.size;
  const reported = report.running + report.queued;
  return Math.max(attempts.size, reported + attempts.size - memory.average);
}
