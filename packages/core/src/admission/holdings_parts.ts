/**
 * Adds up and takes apart the counts by route and team that daemons send each other.
 *
 * @module
 */
import { tupleKey } from "../util/tuple_key.ts";
import type {
  HoldingsPart,
  HoldingsReport,
  HoldingsSharing,
  ZoneHolding,
} from "./types.ts";

/** Rows of one report at most. */
export const MAX_HOLDING_ROWS = 32;
/** A follower's counts are dropped when it has sent none for this long, ms. */
export const HOLDINGS_SILENCE_MS = 1_000;
/** Own reports that may be contained in a sum that arrives. */
const KEPT_REPORTS = 4;

/** Creates the state of a daemon that has sent and heard no counts. */
export function createHoldingsSharing(): HoldingsSharing {
  return {
    parts: new Map(),
    sent: [],
    sentCount: 0,
    lastContent: undefined,
    nextAt: -Infinity,
    repeatAt: -Infinity,
  };
}

function keyOf({ route, team }: ZoneHolding): string {
  return tupleKey(route, team ?? "");
}

/**
 * Returns the sum by route and team.
 *
 * @example
 * ```ts
 * const row = { route: "chat", team: "a", requests: 1, tokens: 900, waiting: 0 };
 * addHoldings([row, row]); // [{ route: "chat", team: "a", requests: 2, tokens: 1_800, waiting: 0 }]
 * ```
 */
export function addHoldings(rows: Iterable<ZoneHolding>): ZoneHolding[] {
  const sums = new Map<string, ZoneHolding>();
  for (const row of rows) {
    const sum = sums.get(keyOf(row));
    if (sum === undefined) {
      sums.set(keyOf(row), { ...row });
      continue;
    }
    sum.requests += row.requests;
    sum.tokens += row.tokens;
    sum.waiting += row.waiting;
  }
  return [...sums.values()];
}

/** Returns what is left of a sum without a part of it; rows without a request are left out. */
export function subtractHoldings(
  sum: readonly ZoneHolding[],
  part: readonly ZoneHolding[],
): ZoneHolding[] {
  const parts = new Map(part.map((row) => [keyOf(row), row]));
  const left = sum.map((row) => {
    const own = parts.get(keyOf(row));
    return {
      ...row,
      requests: Math.max(0, row.requests - (own?.requests ?? 0)),
      tokens: Math.max(0, row.tokens - (own?.tokens ?? 0)),
      waiting: Math.max(0, row.waiting - (own?.waiting ?? 0)),
    };
  });
  return left.filter(({ requests, waiting }) => requests + waiting > 0);
}

/** Returns the largest rows by cost in flight, then by requests that wait, in an order that equal counts keep. */
export function largestHoldings(rows: readonly ZoneHolding[]): ZoneHolding[] {
  const sorted = [...rows].sort((left, right) =>
    right.tokens - left.tokens || right.waiting - left.waiting ||
    (keyOf(left) < keyOf(right) ? -1 : 1)
  );
  return sorted.slice(0, MAX_HOLDING_ROWS);
}

/** Keeps an own report, so that it can be taken out of the sums that contain it. */
export function keepSent(
  sharing: HoldingsSharing,
  report: HoldingsReport,
): void {
  sharing.sent.push(report);
  if (sharing.sent.length > KEPT_REPORTS) sharing.sent.shift();
}

/** Returns the counts of the other daemons in a sum: without the own report that it contains, if any. */
export function withoutOwn(
  { sent }: HoldingsSharing,
  { ids, rows }: HoldingsReport,
): ZoneHolding[] {
  const own = sent.find((report) => ids.includes(report.ids[0]!));
  return subtractHoldings(rows, own?.rows ?? []);
}

/** Returns the counts of the followers, and drops those of followers that have sent none for long. */
export function currentParts(
  { parts }: HoldingsSharing,
  { now }: { now: number },
): HoldingsPart[] {
  for (const [follower, { heardAt }] of parts) {
    if (now - heardAt > HOLDINGS_SILENCE_MS) parts.delete(follower);
  }
  return [...parts.values()];
}
