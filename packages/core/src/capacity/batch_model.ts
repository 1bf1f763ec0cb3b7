/**
 * Learns how large an engine's batch may grow before the time between tokens misses its target.
 *
 * @module
 */
import { addSample, type Average, createAverage } from "../util/ewma.ts";

/** What the reports of a deployment's engines taught. */
export interface BatchModel {
  /** Largest batch that is thought to keep the target; undefined until a first report. */
  limit: number | undefined;
  /** Step time by batch size, in buckets of {@link BUCKET} sequences. */
  steps: Map<number, Average>;
}

/** One load report as the model sees it. */
export interface StepSample {
  running: number;
  stepMs: number;
  targetMs: number;
  maxBatch: number;
}

const BUCKET = 4;
const BUCKET_WEIGHT = 0.05;
/** Samples a bucket needs before it is trusted. */
const MIN_SAMPLES = 5;
/** Share of the between-token target that the limit aims at. */
const TARGET_HEADROOM = 0.985;
/** Sequences by which the limit moves for each millisecond of error in one report. */
const GAIN_PER_MS = 0.04;
/** Largest move for one report, sequences. */
const MAX_MOVE = 0.25;
/** Reports teach the limit only where the batch is within this share of it. */
const NEAR_LIMIT = 0.15;
const FIRST_LIMIT_SHARE = 0.5;

/** Creates a model that has seen nothing. */
export function createBatchModel(): BatchModel {
  return { limit: undefined, steps: new Map() };
}

function bucketOf(batch: number): number {
  return Math.floor(batch / BUCKET);
}

/** Adds one report of an engine that is not a straggler. */
export function learnStep(
  model: BatchModel,
  { running, stepMs, targetMs, maxBatch }: StepSample,
): void {
  const bucket = model.steps.get(bucketOf(running)) ?? createAverage(stepMs);
  model.steps.set(bucketOf(running), bucket);
  addSample(bucket, stepMs, { weight: BUCKET_WEIGHT });
  const limit = model.limit ?? maxBatch * FIRST_LIMIT_SHARE;
  const isNear = Math.abs(running - limit) <= limit * NEAR_LIMIT;
  const move = (targetMs * TARGET_HEADROOM - stepMs) * GAIN_PER_MS;
  const bounded = Math.max(-MAX_MOVE, Math.min(MAX_MOVE, move));
  const moved = isNear ? limit + bounded : limit;
  model.limit = Math.max(1, Math.min(maxBatch, moved));
}

/** Step time expected of a healthy engine at a batch size, ms. */
export function expectedStep(
  model: BatchModel,
  batch: number,
): number | undefined {
  const bucket = model.steps.get(bucketOf(batch));
  if (bucket === undefined || bucket.samples < MIN_SAMPLES) return undefined;
  return bucket.value;
}

/**
 * Largest batch to allow at an engine whose steps take `factor` times the expected.
 *
 * @example
 * ```ts
 * batchLimit(createBatchModel(), { maxBatch: 64, factor: 1 }); // 32
 * ```
 */
export function batchLimit(
  model: BatchModel,
  { maxBatch, factor }: { maxBatch: number; factor: number },
): number {
  const limit = model.limit ?? maxBatch * FIRST_LIMIT_SHARE;
  return Math.max(1, Math.min(maxBatch, Math.floor(limit / factor)));
}
