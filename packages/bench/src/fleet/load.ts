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
export interface Source {
  principal: Principal;
  rank: Rank;
  perSecond: number;
  fromMs?: number;
  untilMs?: number;
  /** Number of different shared prompt beginnings; 0 for none. */
  topics?: number;
  /** Index of the entry that gets these requests; random by default. */
  entry?: number;
}

/** A request that arrives at a given time. */
export interface Offer {
  at: number;
  id: string;
  entry: number;
  principal: Principal;
  rank: Rank;
  promptTokens: number;
  outputTokens: number;
  prefixes: number[];
}

/** Options of {@link drawOffers}. */
export interface LoadOptions {
  seed: number;
  entries: number;
  untilMs: number;
}

/** Mean output of a request in tokens. */
export const MEAN_OUTPUT_TOKENS = 100;
const MIN_PROMPT_TOKENS = 128;
const PROMPT_SPREAD = 384;
const MIN_OUTPUT_TOKENS = 40;
const OUTPUT_SPREAD = 2 * (MEAN_OUTPUT_TOKENS - MIN_OUTPUT_TOKENS);
const BLOCK_TOKENS = 64;
const TOPIC_BLOCKS = 5;
const MS_PER_SECOND = 1_000;

function drawPrefixes(
  random: Random,
  blocks: number,
  topics: number,
): number[] {
  const topic = topics > 0 ? nextIndex(random, topics) + 1 : 0;
  const own = Math.floor(nextFloat(random) * 2 ** 31);
  return Array.from(
    { length: blocks },
    (_, block) =>
      topic > 0 && block < TOPIC_BLOCKS ? topic * 1_000 + block : own + block,
  );
}

function drawSource(
  source: Source,
  random: Random,
  { entries, untilMs }: LoadOptions,
): Omit<Offer, "id">[] {
  const { principal, rank, perSecond, fromMs = 0, topics = 0, entry } = source;
  const end = source.untilMs ?? untilMs;
  const offers: Omit<Offer, "id">[] = [];
  if (perSecond <= 0) return offers;
  for (let at = fromMs;;) {
    at -= Math.log(1 - nextFloat(random)) / perSecond * MS_PER_SECOND;
    if (at >= end) return offers;
    const promptTokens = MIN_PROMPT_TOKENS + nextIndex(random, PROMPT_SPREAD);
    const outputTokens = MIN_OUTPUT_TOKENS + nextIndex(random, OUTPUT_SPREAD);
    const prefixes = drawPrefixes(
      random,
      Math.floor(promptTokens / BLOCK_TOKENS),
      topics,
    );
    offers.push({
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
export function drawOffers(
  sources: readonly Source[],
  options: LoadOptions,
): Offer[] {
  const random = createRandom(options.seed);
  return sources
    .flatMap((source) => drawSource(source, random, options))
    .toSorted((left, right) => left.at - right.at)
    .map((offer, index) => ({ ...offer, id: `r${index}` }));
}
