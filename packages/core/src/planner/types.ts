/**
 * State of the planner of one model deployment.
 *
 * @module
 */

/** State of a deployment's planner that is kept between rounds. */
export interface Planner {
  deployment: string;
  /** Fencing number of the current term; undefined while this daemon does not hold the lease. */
  grant: number | undefined;
  /** Time at which the current term began. */
  termStartedAt: number;
  /** Time of the newest change of each group or VM; the cooldown counts from here, so that groups do not flap. */
  changedAt: Map<string, number>;
  /** Time of the newest order to each VM. */
  orderedAt: Map<string, number>;
  /** Changes that are appended but not folded yet, by record id. */
  pending: Map<string, PendingChange>;
  /** Number in the name of the next group. */
  nextGroup: number;
}

/** A change that the fold has not decided on yet. */
export interface PendingChange {
  /** Group, VM or deployment that is changed. */
  subject: string;
  /** VMs that would join a group. */
  vms: readonly string[];
}
