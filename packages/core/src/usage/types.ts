/**
 * What this entry VM counted.
 *
 * @module
 */
import type { UsageCounter } from "../fold/types.ts";

/** Cumulative counters of one incarnation of an entry. */
export interface UsageLedger {
  counters: Map<string, UsageCounter>;
  sequence: number;
  /** Counters at the newest publication, so that nothing is published twice unchanged. */
  publishedRequests: number;
  publishedAt: number;
  requests: number;
  /** Id of the newest published record. */
  record: string;
}
