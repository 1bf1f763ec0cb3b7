/**
 * Records the outcome of every offered request and computes shares, percentiles and goodput from it.
 *
 * @module
 */
import type { Rank, Verdict } from "@primroseshed/core";
import { build, type Histogram } from "hdr-histogram-js";
import type { OfferedRequest } from "./load.ts";

/** Outcome of one offered request. */
export interface RequestOutcome {
  request: OfferedRequest;
  /** Number of attempts at engines, retries included. */
  attempts: number;
  firstTokenAt?: number;
  lastTokenAt?: number;
  endedAt?: number;
  /** `ok` or the error code of each response to the caller; more than one breaks an invariant. */
  responseCodes: string[];
  verdict?: Verdict;
  tokens: number;
}

/** Results of one run. */
export interface RunResults {
  outcomes: Map<string, RequestOutcome>;
  /** Times between tokens by rank, in units of 0.01 ms. */
  betweenTokens: Record<Rank, Histogram>;
  /** Time of every attempt, and whether it was the request's first one. */
  attempts: { at: number; isFirst: boolean }[];
}

/** Target time to the first token of urgent and standard requests, ms. */
export const FIRST_TOKEN_MS = 730;
/** Target of the 95th percentile of the time between tokens, ms. */
export const BETWEEN_TOKENS_MS = 29;
const UNITS_PER_MS = 100;

/** Creates empty results for all offered requests. */
export function createRunResults(
  requests: readonly OfferedRequest[],
): RunResults {
  const histogram = () =>
    build({
      highestTrackableValue: 10_000_000,
      numberOfSignificantValueDigits: 3,
    });
  return {
    outcomes: new Map(
      requests.map((
        request,
      ) => [request.id, {
        request,
        attempts: 0,
        responseCodes: [],
        tokens: 0,
      }]),
    ),
    betweenTokens: {
      urgent: histogram(),
      standard: histogram(),
      batch: histogram(),
    },
    attempts: [],
  };
}

/** Records a token that reached the caller. */
export function recordToken(
  { betweenTokens }: RunResults,
  outcome: RequestOutcome,
  now: number,
): void {
  if (outcome.firstTokenAt === undefined) outcome.firstTokenAt = now;
  else if (outcome.lastTokenAt !== undefined) {
    betweenTokens[outcome.request.rank].recordValue(
      Math.round((now - outcome.lastTokenAt) * UNITS_PER_MS),
    );
  }
  outcome.lastTokenAt = now;
  outcome.tokens += 1;
}

/** Returns a percentile of a histogram of times between tokens, ms. */
export function gapPercentile(
  histogram: Histogram,
  percentile: number,
): number {
  return histogram.totalCount === 0
    ? 0
    : histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
}

/** Filter of requests; an absent field matches all. */
export interface OutcomeFilter {
  rank?: Rank;
  owner?: string;
  caller?: string;
  team?: string;
  fromMs?: number;
  untilMs?: number;
}

/** Returns the outcomes of the requests that match a filter and were offered in its window. */
export function selectOutcomes(
  { outcomes }: RunResults,
  filter: OutcomeFilter,
): RequestOutcome[] {
  const { rank, owner, team, caller, fromMs = 0, untilMs = Infinity } = filter;
  return [...outcomes.values()].filter(({ request }) =>
    (rank === undefined || request.rank === rank) &&
    (owner === undefined || request.principal.owner === owner) &&
    (team === undefined || request.principal.team === team) &&
    (caller === undefined || request.principal.caller === caller) &&
    request.at >= fromMs && request.at < untilMs
  );
}

/** Returns whether a request was completed and, unless it is batch work, its first token met the target. */
export function isInTime(
  { request, firstTokenAt, responseCodes }: RequestOutcome,
): boolean {
  if (responseCodes[0] !== "ok" || firstTokenAt === undefined) return false;
  return request.rank === "batch" ||
    firstTokenAt - request.at <= FIRST_TOKEN_MS;
}

/** Returns the share of requests that were served in time; refused ones count against it. */
export function inTimeShare(outcomes: readonly RequestOutcome[]): number {
  return outcomes.length === 0
    ? 1
    : outcomes.filter(isInTime).length / outcomes.length;
}

/** Returns the share of requests that were completed. */
export function servedShare(outcomes: readonly RequestOutcome[]): number {
  return outcomes.length === 0
    ? 1
    : outcomes.filter(({ responseCodes }) => responseCodes[0] === "ok").length /
      outcomes.length;
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
  outcomes: readonly RequestOutcome[],
  percentile: number,
): number {
  const times = outcomes.flatMap(({ request, firstTokenAt }) =>
    firstTokenAt === undefined ? [] : [firstTokenAt - request.at]
  );
  return percentileOf(times, percentile);
}

/** Returns a percentile of the time from the arrival of a request to its refusal, ms. */
export function refusalPercentile(
  outcomes: readonly RequestOutcome[],
  percentile: number,
): number {
  const refused = outcomes.filter(({ responseCodes }) =>
    responseCodes[0] !== "ok" && responseCodes[0] !== undefined
  );
  return percentileOf(
    refused.map(({ request, endedAt = Infinity }) => endedAt - request.at),
    percentile,
  );
}

/** Returns the output tokens per second of the requests that ended in a window and were served in time. */
export function goodput(
  results: RunResults,
  filter: OutcomeFilter & { fromMs: number; untilMs: number },
): number {
  const { fromMs, untilMs, ...rest } = filter;
  const served = selectOutcomes(results, rest).filter((outcome) => {
    const endedAt = outcome.endedAt ?? Infinity;
    return isInTime(outcome) && endedAt >= fromMs && endedAt < untilMs;
  });
  return served.reduce((sum, { tokens }) => sum + tokens, 0) /
    (untilMs - fromMs) * 1_000;
}
