/**
 * Measures the capacity of a group: its throughput at the largest batch that keeps the target time between tokens,
 * while requests are always waiting.
 *
 * @module
 */
import { createClock } from "./clock.ts";
import { createEngine, PROFILE } from "./engine.ts";
import { drawOffers, type Offer } from "./load.ts";
import {
  BETWEEN_TOKENS_MS,
  createRecords,
  gapPercentile,
  noteToken,
} from "./record.ts";

/** Capacity of one group. */
export interface Capacity {
  /** Largest batch that keeps the target time between tokens. */
  batch: number;
  tokensPerSecond: number;
  requestsPerSecond: number;
}

const SETTLE_MS = 10_000;
const END_MS = 40_000;
const P95 = 95;

function runAt(
  batch: number,
  offers: readonly Offer[],
): { gapMs: number; tokens: number; requests: number } {
  const clock = createClock();
  const engine = createEngine("capacity", clock);
  const records = createRecords(offers);
  let next = 0;
  let tokens = 0;
  let requests = 0;
  const start = () => {
    const offer = offers[next++ % offers.length] as Offer;
    const fate = { offer, sends: 1, outcomes: [], tokens: 0 };
    engine.submit({
      ...offer,
      rank: "urgent",
      light: false,
      resumeFrom: 0,
      onToken() {
        noteToken(records, fate, clock.now);
        if (clock.now >= SETTLE_MS) tokens += 1;
      },
      onEnd() {
        if (clock.now >= SETTLE_MS) requests += 1;
        start();
      },
    });
  };
  for (let count = 0; count < batch; count++) start();
  clock.runUntil(END_MS);
  const { urgent, standard, batch: low } = records.betweenTokens;
  urgent.add(standard);
  urgent.add(low);
  return { gapMs: gapPercentile(urgent, P95), tokens, requests };
}

/** Measures the capacity of one group for requests like those of the scenarios. */
export function measureCapacity(
  { seed, topics = 0 }: { seed: number; topics?: number },
): Capacity {
  const principal = { owner: "tavua", team: "t", caller: "c" };
  const offers = drawOffers(
    [{ principal, rank: "urgent", perSecond: 50, topics }],
    { seed, entries: 1, untilMs: 60_000 },
  );
  let best: Capacity = { batch: 1, tokensPerSecond: 0, requestsPerSecond: 0 };
  for (let batch = 1; batch <= PROFILE.maxBatch; batch++) {
    const { gapMs, tokens, requests } = runAt(batch, offers);
    if (gapMs > BETWEEN_TOKENS_MS) break;
    const seconds = (END_MS - SETTLE_MS) / 1_000;
    best = {
      batch,
      tokensPerSecond: tokens / seconds,
      requestsPerSecond: requests / seconds,
    };
  }
  return best;
}
