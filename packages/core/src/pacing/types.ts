/**
 * Types of pacing: how fast this daemon sends to runners that take only a certain rate.
 *
 * @module
 */

/** State of pacing that does not belong to one runner. */
export interface Pacing {
  /**
   * Time at which each other daemon was found to be registered no more, ms, by node; infinite while it is registered.
   */
  lostAt: Map<string, number>;
  /** True once a list of the daemons was read. */
  hasFleet: boolean;
  /** True while the lists of daemons name this one. */
  isNamed: boolean;
  /** Time since which this daemon has known the fleet and been named in its list, ms; undefined while it has not. */
  knownSince: number | undefined;
  /** Nodes that own a runner before this daemon does, by runner. */
  nodesAhead: Map<string, string[]>;
  /** Times that a runner was passed over since its pace allowed no request, by whether it was cold. */
  heldBack: { cold: number; limited: number };
}
