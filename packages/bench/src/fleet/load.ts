/**
 * Generates open-loop load: arrivals are drawn before the run, so a slow response never delays the next request.
 *
 * @module
 */
import {
  createRandom,
  nextFloat,
  nextIndex,
  type Principal,
  type Random,
  type Rank,
} from "@primroseshed/core";

/** A Poisson source of requests from one caller at one rank. */
export interface RequestSource {
  principal: Principal;
  rank: Rank;
  perSecond: number;
  fromMs?: number;
  untilMs?: number;
  /** Number of different shared prompt beginnings; 0 for none. */
  sharedPrompts?: number;
  /** Index of the entry that gets these requests; random by default. */
  entry?: number;
}

/** A request that arrives at a given time. */
export interface OfferedRequest {
  at: number;
  id: string;
  entry: number;
  principal: Principal;
  rank: Rank;
  promptTokens: number;
  outputTokens: number;
  prefixes: number[];
}

/** Options of {@link drawRequests}. */
export interface LoadOptions {
  seed: number;
  entries: number;
  untilMs: number;
}

/** Mean output of a request in tokens. */
export const MEAN_OUTPUT_TOKENS = 100;
const MIN_PROMPT_TOKENS = 128;
const PROMPT_SPREAD_TOKENS = 384;
const MIN_OUTPUT_TOKENS = 40;
const OUTPUT_SPREAD_TOKENS = 2 * (MEAN_OUTPUT_TOKENS - MIN_OUTPUT_TOKENS);
const BLOCK_TOKENS = 64;
const SHARED_PROMPT_BLOCKS = 5;
const MS_PER_SECOND = 1_000;

function drawPrefixes(
  random: Random,
  blocks: number,
  sharedPrompts: number,
): number[] {
  const sharedPrompt = sharedPrompts > 0
    ? nextIndex(random, sharedPrompts) + 1
    : 0;
  const own = Math.floor(nextFloat(random) * 2 ** 31);
  return Array.from(
    { length: blocks },
    (_, block) =>
      sharedPrompt > 0 && block < SHARED_PROMPT_BLOCKS
        ? sharedPrompt * 1_000 + block
        : own + block,
  );
}

function drawSource(
  source: RequestSource,
  random: Random,
  { entries, untilMs }: LoadOptions,
): Omit<OfferedRequest, "id">[] {
  const { principal, rank, perSecond, fromMs = 0, sharedPrompts = 0, entry } =
    source;
  const end = source.untilMs ?? untilMs;
  const requests: Omit<OfferedRequest, "id">[] = [];
  if (perSecond <= 0) return requests;
  for (let at = fromMs;;) {
    at -= Math.log(1 - nextFloat(random)) / perSecond * MS_PER_SECOND;
    if (at >= end) return requests;
    const promptTokens = MIN_PROMPT_TOKENS +
      nextIndex(random, PROMPT_SPREAD_TOKENS);
    const outputTokens = MIN_OUTPUT_TOKENS +
      nextIndex(random, OUTPUT_SPREAD_TOKENS);
    const prefixes = drawPrefixes(
      random,
      Math.floor(promptTokens / BLOCK_TOKENS),
      sharedPrompts,
    );
    requests.push({
      at,
      entry: entry ?? nextIndex(random, entries),
      principal,
      rank,
      promptTokens,
      outputTokens,
      prefixes,
    });
  }
}

/** Draws all requests of a run and returns them in order of arrival. */
export function drawRequests(
  sources: readonly RequestSource[],
  options: LoadOptions,
): OfferedRequest[] {
  const random = createRandom(options.seed);
  return sources
    .flatMap((source) => drawSource(source, random, options))
    .toSorted((left, right) => left.at - right.at)
    .map((request, index) => ({ ...request, id: `r${index}` }));
}
