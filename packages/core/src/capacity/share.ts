/**
 * Splits shared concurrency among entry VMs by need, the most urgent rank first.
 *
 * @module
 */
import { type Rank, RANKS } from "../config/types.ts";
import type { Need } from "../peer/types.ts";
import { hashFraction } from "../util/hash.ts";

/** An entry's part of every group's limit, as an interval of [0, 1]. */
export interface ShareInterval {
  low: number;
  high: number;
}

/** Need of one entry by name. */
export interface EntryNeed {
  entry: string;
  need: Need;
}

/** Share of the capacity that is split evenly whatever the need, so that an idle entry can start work at once. */
const EVEN_SHARE = 0.1;

function sumNeed(entries: readonly EntryNeed[], rank: Rank): number {
  return entries.reduce((sum, { need }) => sum + need[rank], 0);
}

/** Returns the concurrency that each entry should get of `slots`, in the order given. */
export function divideSlots(
  entries: readonly EntryNeed[],
  slots: number,
): number[] {
  const even = slots * EVEN_SHARE / entries.length;
  const parts = entries.map(() => even);
  let remaining = slots * (1 - EVEN_SHARE);
  for (const rank of RANKS) {
    const wanted = sumNeed(entries, rank);
    if (wanted <= 0) continue;
    const granted = Math.min(remaining, wanted);
    entries.forEach(({ need }, index) =>
      parts[index] = (parts[index] ?? 0) + granted * need[rank] / wanted
    );
    remaining -= granted;
  }
  return parts.map((part) => part + remaining / entries.length);
}

/**
 * Returns this entry's interval of every limit.
 *
 * All entries sort by name and use the same digests, so their intervals tile [0, 1], and together they allow no more
 * than the limit.
 */
export function shareOf(
  entry: string,
  entries: readonly EntryNeed[],
  slots: number,
): ShareInterval {
  const sorted = [...entries].sort((left, right) =>
    left.entry < right.entry ? -1 : 1
  );
  const parts = divideSlots(sorted, Math.max(slots, 1));
  const total = parts.reduce((sum, part) => sum + part, 0);
  let low = 0;
  for (const [index, part] of parts.entries()) {
    const high = low + part / total;
    if (sorted[index]?.entry === entry) return { low, high };
    low = high;
  }
  return { low: 0, high: 1 };
}

/**
 * Returns the whole slots of one target's limit that fall into an interval.
 *
 * The rounding offset differs by target, so that rounding favours a different entry at each.
 *
 * @example
 * ```ts
 * wholeSlots("group-1", 10, { low: 0, high: 1 }); // 10
 * ```
 */
export function wholeSlots(
  target: string,
  limit: number,
  { low, high }: ShareInterval,
): number {
  const offset = hashFraction(target);
  return Math.floor(limit * high + offset) - Math.floor(limit * low + offset);
}
