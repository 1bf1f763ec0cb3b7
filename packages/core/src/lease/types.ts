/**
 * A lease as one daemon sees it.
 *
 * @module
 */
import type { LeasePhase } from "./machine.ts";

/** A lease this daemon watches or holds. */
export interface Lease {
  name: string;
  phase: LeasePhase;
  /** Offset of the renewal seen last, and since when on this daemon's clock. */
  seenRenewal: number;
  seenAt: number;
  /** Fencing number while held. */
  grant: number | undefined;
  /** Local time at which the newest confirmed renewal was sent; the holder's time counts from here. */
  confirmedSentAt: number;
  /** Send times of grants and renewals not folded yet, by record id. */
  sent: Map<string, number>;
}
