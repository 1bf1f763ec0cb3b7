/**
 * Builds the text that a usage signature covers.
 *
 * @module
 */
import type { FoldedUsage } from "../fold/types.ts";

/**
 * Returns the canonical text that an entry signs, with a fixed order of counters and fields.
 *
 * @example
 * ```ts
 * usagePayload({ entry: "entry-1#a", sequence: 1, counters: [] });
 * ```
 */
export function usagePayload(
  { entry, sequence, counters }: Omit<FoldedUsage, "signature">,
): string {
  const rows = counters.map((counter) => [
    counter.owner,
    counter.team,
    counter.deployment,
    counter.rank,
    counter.requests,
    counter.promptTokens,
    counter.cachedTokens,
    counter.outputTokens,
    counter.bookings,
  ]);
  return JSON.stringify([entry, sequence, rows]);
}
