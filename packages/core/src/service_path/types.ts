/**
 * Types of what a daemon knows of its own network path to the runners of each service.
 *
 * @module
 */

/** A daemon's path to the runners of one service. */
export interface ServicePath {
  /**
   * Runners to which connections failed, or that ended one, since the last connection to any runner of the service
   * succeeded, with the times, ms.
   */
  failedRunners: Map<string, number>;
  /** Time at which the path was lost, ms; undefined while it works. */
  lostSince: number | undefined;
  /** True once another daemon has reached a runner of the service for this one, which shows that the runners are up. */
  isProven: boolean;
  /** Time from which on the path is probed while it is lost, ms. */
  nextProbeAt: number;
}
