/**
 * Types of what a daemon knows of its own network path to the runners of each service.
 *
 * @module
 */

/** A daemon's path to the runners of one service. */
export interface ServicePath {
  /** Runners to which connections failed since the last one to any runner of the service succeeded. */
  failedRunners: Set<string>;
  /** Time at which the path was lost, ms; undefined while it works. */
  lostSince: number | undefined;
}
