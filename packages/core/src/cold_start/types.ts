/**
 * Types of cold starts: a runner that has just started takes few requests until it is warm.
 *
 * @module
 */

/** How this daemon learned that a runner is cold. */
export type ColdCause =
  /** Its entry in the list of runners says so. */
  | "entry"
  /** Its answer to a health check says so. */
  | "health_check"
  /** Its entry names a new process, and does not say for how long that one is cold. */
  | "new_process"
  /** The evacuation of its availability zone was lifted. */
  | "evacuation_lifted";

/** A runner that is cold, or was so recently that its share of the requests still grows. */
export interface ColdRunner {
  /** Start time of the process that is cold, Unix ms. */
  startedUnixMs: number;
  /** Time from which on it counts as warm, ms. */
  until: number;
  /** True where the runner itself has not said for how long it is cold. */
  isAssumed: boolean;
  /** True once the log says that it is warm. */
  isReported: boolean;
}
