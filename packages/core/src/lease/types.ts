/**
 * State of a lease at one daemon.
 *
 * @module
 */
import type { LeasePhase } from "./machine.ts";

/** A lease that this daemon watches or holds. */
export interface Lease {
  name: string;
  phase: LeasePhase;
  /** Offset of the last renewal that was seen. */
  lastRenewalOffset: number;
  /** Time at which that renewal was seen, by this daemon's clock. */
  lastRenewalSeenAt: number;
  /** Fencing number while held. */
  grant: number | undefined;
  /** Local time at which the newest confirmed renewal was sent; the holder's lease time counts from here. */
  confirmedSentAt: number;
  /** Send times of grants and renewals that are not folded yet, by record id. */
  sent: Map<string, number>;
}
