/**
 * Decides how often a daemon reads the changes of the runner list.
 *
 * Answers the load of large fleets on the store: every runner's heartbeat is a change, so the list never rests, and all
 * daemons read it. One runner matters less the more there are; reads that take in many changes at once keep the calls
 * of a fleet of daemons within the store's limits.
 *
 * @module
 */

/** Limits of {@link gatherMsOf}, ms. */
export interface ReadingPace {
  /** Least time for which changes are gathered. */
  gatherMs: number;
  /** Added up over all listed runners. */
  gatherMsPerRunner: number;
  /** Longest time for which changes are gathered. */
  maxGatherMs: number;
  /** The same for the daemon that plans the replica groups. */
  plannerGatherMs: number;
}

/**
 * Returns how long changes are gathered before the next read, ms.
 *
 * @example
 * ```ts
 * gatherMsOf(pace, { runners: 200, isPlanner: false }); // 1,000 with 5 ms a runner
 * ```
 */
export function gatherMsOf(
  { gatherMs, gatherMsPerRunner, maxGatherMs, plannerGatherMs }: ReadingPace,
  { runners, isPlanner }: { runners: number; isPlanner: boolean },
): number {
  if (isPlanner) return plannerGatherMs;
  return Math.min(maxGatherMs, Math.max(gatherMs, gatherMsPerRunner * runners));
}
