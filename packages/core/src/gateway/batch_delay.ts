/**
 * Computes how long a daemon batches changes of the runner list before it reads them.
 *
 * Every runner's heartbeat is a change, so in a large fleet the list changes all the time, and all daemons read it. The
 * delay grows with the number of runners, since one runner matters less the more there are; reads that return many
 * changes at once keep the calls of all daemons within the store's limits.
 *
 * @module
 */

/** Settings of {@link batchDelayOf}, ms. */
export interface BatchDelaySettings {
  /** Minimum time for which changes are batched. */
  gatherMs: number;
  /** Time per listed runner; the delay is this times their number, within the minimum and the maximum. */
  gatherMsPerRunner: number;
  /** Maximum time for which changes are batched. */
  maxGatherMs: number;
  /** Minimum time for which the daemon that plans the replica groups batches changes. */
  plannerGatherMs: number;
  /** Time per listed runner for that daemon. */
  plannerGatherMsPerRunner: number;
  /** Maximum time for that daemon, since groups without a member wait for it. */
  maxPlannerGatherMs: number;
}

/**
 * Returns how long changes are batched before the next read, ms.
 *
 * @example
 * ```ts
 * batchDelayOf(settings, { runners: 200, isPlanner: false }); // 1,000 with 5 ms a runner
 * ```
 */
export function batchDelayOf(
  settings: BatchDelaySettings,
  { runners, isPlanner }: { runners: number; isPlanner: boolean },
): number {
  const [min, perRunner, max] = isPlanner
    ? [
      settings.plannerGatherMs,
      settings.plannerGatherMsPerRunner,
      settings.maxPlannerGatherMs,
    ]
    : [settings.gatherMs, settings.gatherMsPerRunner, settings.maxGatherMs];
  return Math.min(max, Math.max(min, perRunner * runners));
}
