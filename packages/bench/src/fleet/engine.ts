/**
 * Simulates the engine of a replica group: continuous batching with prefill and decode, a KV cache limit and a prefix
 * cache.
 *
 * @module
 */
import {
  type CacheChange,
  type LoadReport,
  type Rank,
  RANKS,
} from "@primroseshed/core";
import type { Clock } from "./clock.ts";

/** Speed and capacity of an engine. */
export interface EngineProfile {
  baseStepMs: number;
  stepMsPerSequence: number;
  prefillTokensPerMs: number;
  /** Maximum number of prompt tokens that are prefilled in one step. */
  prefillChunk: number;
  maxBatch: number;
  kvTokens: number;
  cacheBlocks: number;
}

/** Profile used by every scenario. */
export const PROFILE: EngineProfile = {
  baseStepMs: 9,
  stepMsPerSequence: 0.35,
  prefillTokensPerMs: 24,
  prefillChunk: 192,
  maxBatch: 64,
  kvTokens: 60_000,
  cacheBlocks: 400,
};

/** Number of prompt tokens that one prefix block covers. */
export const BLOCK_TOKENS = 64;

/** A request submitted to an engine. */
export interface Job {
  id: string;
  rank: Rank;
  /** Whether this is low-usage work, which is prefilled before other work of its rank. */
  lowUsage: boolean;
  promptTokens: number;
  outputTokens: number;
  prefixes: readonly number[];
  /** Number of output tokens that an earlier attempt already produced. */
  resumeFrom: number;
  onToken(): void;
  onEnd(outcome: "completed" | "reset_after_send" | "status_not_run"): void;
}

interface EngineJob extends Job {
  prefillLeft: number;
  cachedTokens: number;
  producedTokens: number;
}

/** A running engine. */
export interface Engine {
  name: string;
  /** Factor on the time of each step: 1 is full speed, at 4 each step takes four times as long. */
  slowdown: number;
  dead: boolean;
  submit(job: Job): void;
  cancel(id: string): void;
  kill(): void;
  report(): LoadReport;
  /** Returns the cache changes since the last call. */
  drainCacheChanges(): CacheChange[];
  /** Number of tokens to prefill so far, and of those found in the prefix cache. */
  prefill: { totalTokens: number; cachedTokens: number };
}

const REPORTED_STEPS = 40;
const P95 = 0.95;

function priorityOf({ rank, lowUsage }: Job): number {
  return RANKS.indexOf(rank) * 2 + (lowUsage ? 0 : 1);
}

function comparePriority(left: Job, right: Job): number {
  return priorityOf(left) - priorityOf(right);
}

/** Creates an idle engine. */
export function createEngine(
  name: string,
  clock: Clock,
  profile: EngineProfile = PROFILE,
): Engine {
  const waiting: Record<Rank, EngineJob[]> = {
    urgent: [],
    standard: [],
    batch: [],
  };
  let running: EngineJob[] = [];
  let isStepping = false;
  let kvUsed = 0;
  const steps: number[] = [];
  const cache = new Set<number>();
  let changes: CacheChange[] = [];
  const prefill = { totalTokens: 0, cachedTokens: 0 };

  function kvTokensOf({ promptTokens, outputTokens }: Job): number {
    return promptTokens + outputTokens;
  }

  function touch(prefix: number): void {
    if (!cache.delete(prefix)) changes.push({ kind: "stored", prefix });
    cache.add(prefix);
    if (cache.size <= profile.cacheBlocks) return;
    const oldest = cache.values().next().value as number;
    cache.delete(oldest);
    changes.push({ kind: "evicted", prefix: oldest });
  }

  function lookUpCache(job: EngineJob): void {
    const total = job.promptTokens + job.resumeFrom;
    let blocks = 0;
    while (
      blocks < job.prefixes.length && cache.has(job.prefixes[blocks] as number)
    ) blocks++;
    job.cachedTokens = Math.min(total - 1, blocks * BLOCK_TOKENS);
    job.prefillLeft = total - job.cachedTokens;
    prefill.totalTokens += total;
    prefill.cachedTokens += job.cachedTokens;
    for (const prefix of job.prefixes) touch(prefix);
  }

  function admit(): void {
    for (const rank of RANKS) {
      while (waiting[rank].length > 0 && running.length < profile.maxBatch) {
        const job = waiting[rank][0] as EngineJob;
        if (kvUsed + kvTokensOf(job) > profile.kvTokens) return;
        waiting[rank].shift();
        kvUsed += kvTokensOf(job);
        lookUpCache(job);
        running.push(job);
      }
    }
  }

  function prefillStep(): number {
    let budget = profile.prefillChunk;
    for (const job of running.toSorted(comparePriority)) {
      if (job.prefillLeft === 0) continue;
      const part = Math.min(budget, job.prefillLeft);
      job.prefillLeft -= part;
      budget -= part;
      if (budget === 0) break;
    }
    return profile.prefillChunk - budget;
  }

  function step(): void {
    admit();
    if (running.length === 0 || engine.dead) {
      isStepping = false;
      return;
    }
    isStepping = true;
    const decoding =
      running.filter(({ prefillLeft }) => prefillLeft === 0).length;
    const prefilled = decoding < running.length ? prefillStep() : 0;
    const stepMs = (profile.baseStepMs + profile.stepMsPerSequence * decoding +
      prefilled / profile.prefillTokensPerMs) *
      engine.slowdown;
    clock.after(stepMs, () => finishStep(stepMs));
  }

  function finishStep(stepMs: number): void {
    if (engine.dead) return;
    steps.push(stepMs);
    if (steps.length > REPORTED_STEPS) steps.shift();
    const ended: EngineJob[] = [];
    for (const job of running) {
      if (job.prefillLeft > 0) continue;
      job.producedTokens += 1;
      job.onToken();
      if (job.producedTokens >= job.outputTokens) ended.push(job);
    }
    for (const job of ended) {
      release(job);
      job.onEnd("completed");
    }
    step();
  }

  function release(job: EngineJob): void {
    const index = running.indexOf(job);
    if (index < 0) return;
    running.splice(index, 1);
    kvUsed -= kvTokensOf(job);
  }

  const engine: Engine = {
    name,
    slowdown: 1,
    dead: false,
    prefill,
    submit(job) {
      if (engine.dead) return job.onEnd("status_not_run");
      // All tokens were sent before the request was cancelled; only the end of the response is missing.
      if (job.resumeFrom >= job.outputTokens) return job.onEnd("completed");
      waiting[job.rank].push({
        ...job,
        prefillLeft: 0,
        cachedTokens: 0,
        producedTokens: job.resumeFrom,
      });
      if (!isStepping) step();
    },
    cancel(id) {
      const job = running.find((candidate) => candidate.id === id);
      if (job !== undefined) release(job);
      for (const rank of RANKS) {
        waiting[rank] = waiting[rank].filter((candidate) =>
          candidate.id !== id
        );
      }
    },
    kill() {
      engine.dead = true;
      const lost = [...running, ...RANKS.flatMap((rank) => waiting[rank])];
      running = [];
      for (const rank of RANKS) waiting[rank] = [];
      for (const job of lost) job.onEnd("reset_after_send");
    },
    report() {
      const sorted = steps.toSorted((left, right) => left - right);
      return {
        running: running.length,
        queued: RANKS.reduce((sum, rank) => sum + waiting[rank].length, 0),
        stepMs: sorted[Math.floor(sorted.length * P95)] ?? profile.baseStepMs,
        prefillPerMs: profile.prefillTokensPerMs / 2,
        kvUsedShare: kvUsed / profile.kvTokens,
        maxBatch: profile.maxBatch,
      };
    },
    drainCacheChanges() {
      const drained = changes;
      changes = [];
      return drained;
    },
  };
  return engine;
}
