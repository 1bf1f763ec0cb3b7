/**
 * Records the outcome of every offered request and computes shares, percentiles and goodput from it.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Rank, Verdict } from "@primroseshed/core";
import type { Offer } from "./load.ts";

/** Outcome of one offered request. */
export interface Fate {
  offer: Offer;
  /** Number of attempts at engines, retries included. */
  sends: number;
  firstTokenAt?: number;
  lastTokenAt?: number;
  endedAt?: number;
  /** `ok` or the error code of each response to the caller; more than one breaks an invariant. */
  outcomes: string[];
  verdict?: Verdict;
  tokens: number;
}

/** Results of one run. */
export interface Records {
  fates: Map<string, Fate>;
  /** Times between tokens by rank, in units of 0.01 ms. */
  betweenTokens: Record<Rank, Histogram>;
  /** Time of every attempt, and whether it was the request's first one. */
  sends: { at: number; first: boolean }[];
}

/** Target time to the first token of urgent and standard requests, ms. */
export const FIRST_TOKEN_MS = 730;
/** Target of the 95th percentile of the time between tokens, ms. */
export const BETWEEN_TOKENS_MS = 29;
const HISTOGRAM_SCALE = 100;

/** Creates empty results for all offered requests. */
export function createRecords(offers: readonly Offer[]): Records {
  const histogram = () =>
    build({
      highestTrackableValue: 10_000_000,
      numberOfSignificantValueDigits: 3,
    });
  return {
    fates: new Map(
      offers.map((
        offer,
      ) => [offer.id, { offer, sends: 0, outcomes: [], tokens: 0 }]),
    ),
    betweenTokens: {
      urgent: histogram(),
      standard: histogram(),
      batch: histogram(),
    },
    sends: [],
  };
}

/** Records a token that reached the caller. */
export function noteToken(
  { betweenTokens }: Records,
  fate: Fate,
  now: number,
): void {
  if (fate.firstTokenAt === undefined) fate.firstTokenAt = now;
  else if (fate.lastTokenAt !== undefined) {
    betweenTokens[fate.offer.rank].recordValue(
      Math.round((now - fate.lastTokenAt) * HISTOGRAM_SCALE),
    );
  }
  fate.lastTokenAt = now;
  fate.tokens += 1;
}

/** Returns a percentile of a histogram of times between tokens, ms. */
export function gapPercentile(
  histogram: Histogram,
  percentile: number,
): number {
  return histogram.totalCount === 0
    ? 0
    : histogram.getValueAtPercentile(percentile) / HISTOGRAM_SCALE;
}

/** Filter of requests; an absent field matches all. */
export interface Selection {
  rank?: Rank;
  owner?: string;
  caller?: string;
  team?: string;
  fromMs?: number;
  untilMs?: number;
}

/** Returns the outcomes of the requests that match a filter and were offered in its window. */
export function select({ fates }: Records, selection: Selection): Fate[] {
  const { rank, owner, team, caller, fromMs = 0, untilMs = Infinity } =
    selection;
  return [...fates.values()].filter(({ offer }) =>
    (rank === undefined || offer.rank === rank) &&
    (owner === undefined || offer.principal.owner === owner) &&
    (team === undefined || offer.principal.team === team) &&
    (caller === undefined || offer.principal.caller === caller) &&
    offer.at >= fromMs && offer.at < untilMs
  );
}

/** Returns whether a request was completed and, unless it is batch work, its first token met the target. */
export function isInTime({ offer, firstTokenAt, outcomes }: Fate): boolean {
  if (outcomes[0] !== "ok" || firstTokenAt === undefined) return false;
  return offer.rank === "batch" || firstTokenAt - offer.at <= FIRST_TOKEN_MS;
}

/** Returns the share of requests that were served in time; refused ones count against it. */
export function inTimeShare(fates: readonly Fate[]): number {
  return fates.length === 0 ? 1 : fates.filter(isInTime).length / fates.length;
}

/** Returns the share of requests that were completed. */
export function servedShare(fates: readonly Fate[]): number {
  return fates.length === 0
    ? 1
    : fates.filter(({ outcomes }) => outcomes[0] === "ok").length /
      fates.length;
}

function percentileOf(values: number[], percentile: number): number {
  if (values.length === 0) return 0;
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * percentile / 100))
  ] as number;
}

/** Returns a percentile of the time to the first token, over the requests that got one, ms. */
export function firstTokenPercentile(
  fates: readonly Fate[],
  percentile: number,
): number {
  const times = fates.flatMap(({ offer, firstTokenAt }) =>
    firstTokenAt === undefined ? [] : [firstTokenAt - offer.at]
  );
  return percentileOf(times, percentile);
}

/** Returns a percentile of the time from the arrival of a request to its refusal, ms. */
export function refusalPercentile(
  fates: readonly Fate[],
  percentile: number,
): number {
  const refused = fates.filter(({ outcomes }) =>
    outcomes[0] !== "ok" && outcomes[0] !== undefined
  );
  return percentileOf(
    refused.map(({ offer, endedAt = Infinity }) => endedAt - offer.at),
    percentile,
  );
}

/** Returns the output tokens per second of the requests that ended in a window and were served in time. */
export function goodput(
  records: Records,
  selection: Selection & { fromMs: number; untilMs: number },
): number {
  const { fromMs, untilMs, ...rest } = selection;
  const served = select(records, rest).filter((fate) => {
    const endedAt = fate.endedAt ?? Infinity;
    return isInTime(fate) && endedAt >= fromMs && endedAt < untilMs;
  });
  return served.reduce((sum, { tokens }) => sum + tokens, 0) /
    (untilMs - fromMs) * 1_000;
}
