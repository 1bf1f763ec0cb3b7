/**
 * Counts what became of the requests of a simulation, by kind, size and availability zone.
 *
 * @module
 */

/** Part of the requests of a kind, by size. */
export type SizeBand = "largest_tenth" | "next_fifth" | "rest";

/** How a request ended for its caller. */
export type End =
  | "in_time"
  | "late"
  /** Refused by a daemon as not run, also on the last try. */
  | "refused"
  /** Ended by a daemon after it may have run. */
  | "failed"
  /** The caller left, since nothing arrived for too long. */
  | "silent"
  /** The caller left at its deadline. */
  | "deadline";

/** One request of a caller, over all its tries. */
export interface RequestRecord {
  kind: string;
  zone: number;
  /** Prompt tokens, and output tokens by their weight. */
  size: number;
  end: End;
  /** Time from the first try to the first event, ms; undefined where none came. */
  firstEventMs: number | undefined;
}

/** Counts of one band of a kind. */
export interface BandCount {
  kind: string;
  band: SizeBand;
  requests: number;
  servedShare: number;
  inTimeShare: number;
  ends: Partial<Record<End, number>>;
}

/** Weight of an output token against one of a prompt. */
export const OUTPUT_TOKEN_WEIGHT = 10;

/** Upper ends of the bands, as shares of the requests sorted from the largest. */
const BANDS: readonly (readonly [SizeBand, number])[] = [
  ["largest_tenth", 0.1],
  ["next_fifth", 0.3],
  ["rest", 1],
];

/** Returns the records of each value of a property, in the order in which the values first come. */
export function groupBy<T, K>(
  items: readonly T[],
  keyOf: (item: T) => K,
): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key) ?? [];
    group.push(item);
    groups.set(key, group);
  }
  return groups;
}

/**
 * Returns the share of requests that got a whole response, 0 to 1.
 *
 * @example
 * ```ts
 * servedShareOf(records.filter(({ kind }) => kind === "draft")); // 0.91
 * ```
 */
export function servedShareOf(
  records: readonly Pick<RequestRecord, "end">[],
): number {
  const served = records.filter(({ end }) =>
    end === "in_time" || end === "late"
  );
  return served.length / Math.max(1, records.length);
}

function countBand(
  band: SizeBand,
  records: readonly RequestRecord[],
): BandCount {
  const ends: Partial<Record<End, number>> = {};
  for (const { end } of records) ends[end] = (ends[end] ?? 0) + 1;
  return {
    kind: records[0]!.kind,
    band,
    requests: records.length,
    servedShare: servedShareOf(records),
    inTimeShare: (ends.in_time ?? 0) / records.length,
    ends,
  };
}

function countKind(records: readonly RequestRecord[]): BandCount[] {
  const sorted = records.toSorted((left, right) => right.size - left.size);
  let from = 0;
  return BANDS.flatMap(([band, share]) => {
    const until = Math.ceil(sorted.length * share);
    const members = sorted.slice(from, until);
    from = until;
    return members.length === 0 ? [] : [countBand(band, members)];
  });
}

/**
 * Counts the requests of each kind in three bands of size, the largest first.
 *
 * @example
 * ```ts
 * countBySize(records)[0]?.servedShare; // 0.66 for the largest tenth of the first kind
 * ```
 */
export function countBySize(records: readonly RequestRecord[]): BandCount[] {
  return [...groupBy(records, ({ kind }) => kind).values()].flatMap(countKind);
}
