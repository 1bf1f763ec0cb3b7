/**
 * Usage counted by this entry VM.
 *
 * @module
 */
import type { UsageCounter } from "../fold/types.ts";

/** Cumulative counters of one incarnation of an entry. */
export interface UsageLedger {
  counters: Map<string, UsageCounter>;
  sequence: number;
  /** Value of `requests` at the newest publication; equal values mean that nothing has changed since. */
  publishedRequests: number;
  publishedAt: number;
  requests: number;
  /** Id of the newest published record. */
  recordId: string;
}
