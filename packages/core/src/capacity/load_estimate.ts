/**
 * Estimates the current load of a target from a report of unknown age.
 *
 * Remote load is the reported load less this entry's average load at the target over the time that reports may lag;
 * local load is known exactly. A fresh report and one that is seconds old give nearly the same estimate, and an entry
 * that has just sent work does not send more to the same target because its report still shows it idle.
 *
 * @module
 */
import type { Target } from "../state/types.ts";

/** Time constant over which local attempts are averaged, ms; the lag that reports may have. */
const REPORT_LAG_MS = 2_000;

/** Updates the average of local attempts to `now`; must be called before the number of attempts changes. */
export function updateAttemptAverage(
  { memory, attempts }: Target,
  now: number,
): void {
  const weight = 1 - Math.exp((memory.at - now) / REPORT_LAG_MS);
  memory.average += (attempts.size - memory.average) * weight;
  memory.at = now;
}

/** Returns the estimated number of sequences that run or wait at a target. */
export function estimateLoad(target: Target): number {
  const { report, attempts, memory } = target;
  if (report === undefined) return attempts.size;
  const reported = report.running + report.queued;
  return Math.max(attempts.size, reported + attempts.size - memory.average);
}
