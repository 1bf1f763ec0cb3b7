/**
 * Measures the capacity of a group: its throughput at the largest batch that keeps the target time between tokens,
 * while requests are always waiting.
 *
 * @module
 */
import { createClock } from "./clock.ts";
import { createEngine, PROFILE } from "./engine.ts";
import { drawRequests, type OfferedRequest } from "./load.ts";
import {
  BETWEEN_TOKENS_MS,
  createRunResults,
  gapPercentile,
  recordToken,
} from "./results.ts";

/** Capacity of one group. */
export interface Capacity {
  /** Largest batch that keeps the target time between tokens. */
  batch: number;
  tokensPerSecond: number;
  requestsPerSecond: number;
}

const WARM_UP_MS = 10_000;
const END_MS = 40_000;
const P95 = 95;

function runBatch(
  batch: number,
  requests: readonly OfferedRequest[],
): { gapMs: number; tokens: number; completed: number } {
  const clock = createClock();
  const engine = createEngine("capacity", clock);
  const results = createRunResults(requests);
  let next = 0;
  let tokens = 0;
  let completed = 0;
  const start = () => {
    const request = requests[next++ % requests.length] as OfferedRequest;
    const requestOutcome = {
      request,
      attempts: 1,
      responseCodes: [],
      tokens: 0,
    };
    engine.submit({
      ...request,
      rank: "urgent",
      lowUsage: false,
      resumeFrom: 0,
      onToken() {
        recordToken(results, requestOutcome, clock.now);
        if (clock.now >= WARM_UP_MS) tokens += 1;
      },
      onEnd() {
        if (clock.now >= WARM_UP_MS) completed += 1;
        start();
      },
    });
  };
  for (let count = 0; count < batch; count++) start();
  clock.runUntil(END_MS);
  const { urgent, standard, batch: low } = results.betweenTokens;
  urgent.add(standard);
  urgent.add(low);
  return { gapMs: gapPercentile(urgent, P95), tokens, completed };
}

/** Measures the capacity of one group for requests like those of the scenarios. */
export function measureCapacity(
  { seed, sharedPrompts = 0 }: { seed: number; sharedPrompts?: number },
): Capacity {
  const principal = { owner: "tavua", team: "t", caller: "c" };
  const requests = drawRequests(
    [{ principal, rank: "urgent", perSecond: 50, sharedPrompts }],
    { seed, entries: 1, untilMs: 60_000 },
  );
  let best: Capacity = { batch: 1, tokensPerSecond: 0, requestsPerSecond: 0 };
  for (let batch = 1; batch <= PROFILE.maxBatch; batch++) {
    const { gapMs, tokens, completed } = runBatch(batch, requests);
    if (gapMs > BETWEEN_TOKENS_MS) break;
    const seconds = (END_MS - WARM_UP_MS) / 1_000;
    best = {
      batch,
      tokensPerSecond: tokens / seconds,
      requestsPerSecond: completed / seconds,
    };
  }
  return best;
}
