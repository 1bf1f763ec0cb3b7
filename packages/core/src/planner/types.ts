/**
 * State of the planner of one model deployment.
 *
 * @module
 */

/** What the planner of a deployment remembers between steps. */
export interface Planner {
  deployment: string;
  /** Fencing number under which it began, and since when. */
  grant: number | undefined;
  since: number;
  /** Time of the newest change of each group, so that nothing flaps. */
  changedAt: Map<string, number>;
  /** Time of the newest order to each VM. */
  orderedAt: Map<string, number>;
  /** Changes appended and not folded yet, by record id. */
  pending: Map<string, PendingChange>;
  nextGroup: number;
}

/** A change that the fold has not decided yet. */
export interface PendingChange {
  /** Group or VM that it changes. */
  subject: string;
  /** VMs that it would take. */
  vms: readonly string[];
}
