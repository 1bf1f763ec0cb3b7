/**
 * What became of every offered request.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Rank, Verdict } from "@primroseshed/core";
import type { Offer } from "./load.ts";

/** Fate of one request. */
export interface Fate {
  offer: Offer;
  /** Sends to engines, first tries and repeats. */
  sends: number;
  firstTokenAt?: number;
  lastTokenAt?: number;
  endedAt?: number;
  outcomes: string[];
  verdict?: Verdict;
  tokens: number;
}

/** Records of one run. */
export interface Records {
  fates: Map<string, Fate>;
  betweenTokens: Record<Rank, Histogram>;
  /** Sends at each time, for storms. */
  sends: { at: number; first: boolean }[];
}

/** First-token target of urgent and standard work, ms. */
export const FIRST_TOKEN_MS = 730;
/** Time between tokens that 95 in 100 must keep, ms. */
export const BETWEEN_TOKENS_MS = 29;
const HISTOGRAM_SCALE = 100;

/** Creates empty records for all offers. */
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

/** Notes a token that reached the caller. */
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

/** Percentile of a histogram of gaps, ms. */
export function gapPercentile(
  histogram: Histogram,
  percentile: number,
): number {
  return histogram.totalCount === 0
    ? 0
    : histogram.getValueAtPercentile(percentile) / HISTOGRAM_SCALE;
}

/** Which requests to look at. */
export interface Selection {
  rank?: Rank;
  owner?: string;
  caller?: string;
  team?: string;
  fromMs?: number;
  untilMs?: number;
}

/** Fates of the requests that were offered in a window. */
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

/** Whether a request was served whole and its first token came in time. */
export function isInTime({ offer, firstTokenAt, outcomes }: Fate): boolean {
  if (outcomes[0] !== "ok" || firstTokenAt === undefined) return false;
  return offer.rank === "batch" || firstTokenAt - offer.at <= FIRST_TOKEN_MS;
}

/** Share of requests served in time; refused ones count as not. */
export function inTimeShare(fates: readonly Fate[]): number {
  return fates.length === 0 ? 1 : fates.filter(isInTime).length / fates.length;
}

/** Share of requests served whole. */
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

/** First-token percentile of requests that got one, ms. */
export function firstTokenPercentile(
  fates: readonly Fate[],
  percentile: number,
): number {
  const times = fates.flatMap(({ offer, firstTokenAt }) =>
    firstTokenAt === undefined ? [] : [firstTokenAt - offer.at]
  );
  return percentileOf(times, percentile);
}

/** Percentile of the time from offer to refusal, ms. */
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

/** Output tokens a second of requests served in time that were offered in a window. */
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
