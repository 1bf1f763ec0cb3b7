/**
 * Learns from load reports how large an engine's batch may grow before the time between tokens exceeds its target.
 *
 * @module
 */
import { addSample, type Average, createAverage } from "../util/ewma.ts";

/** Limit and step times learned from the reports of a deployment's engines. */
export interface BatchModel {
  /** Largest batch expected to meet the target; undefined until the first report. */
  limit: number | undefined;
  /** Step time by batch size, in buckets of {@link BUCKET_SEQUENCES} sequences. */
  steps: Map<number, Average>;
}

/** One load report as input to the model. */
export interface StepSample {
  running: number;
  stepMs: number;
  targetMs: number;
  maxBatch: number;
}

const BUCKET_SEQUENCES = 4;
const BUCKET_WEIGHT = 0.05;
/** Samples that a bucket needs before its value is used. */
const MIN_SAMPLES = 5;
/** Share of the between-tokens target that the limit aims at. */
const TARGET_HEADROOM = 0.985;
/** Sequences by which the limit changes for each millisecond of error in one report. */
const GAIN_PER_MS = 0.04;
/** Largest change of the limit for one report, sequences. */
const MAX_LIMIT_CHANGE = 0.25;
/** A report changes the limit only where its batch size is within this share of the limit. */
const NEAR_LIMIT_SHARE = 0.15;
const INITIAL_LIMIT_SHARE = 0.5;

/** Creates a model without samples. */
export function createBatchModel(): BatchModel {
  return { limit: undefined, steps: new Map() };
}

function bucketOf(batch: number): number {
  return Math.floor(batch / BUCKET_SEQUENCES);
}

/** Records one report of an engine that is not a straggler, and adjusts the limit. */
export function recordStep(
  model: BatchModel,
  { running, stepMs, targetMs, maxBatch }: StepSample,
): void {
  const bucket = model.steps.get(bucketOf(running)) ?? createAverage(stepMs);
  model.steps.set(bucketOf(running), bucket);
  addSample(bucket, stepMs, { weight: BUCKET_WEIGHT });
  const limit = model.limit ?? maxBatch * INITIAL_LIMIT_SHARE;
  const isNear = Math.abs(running - limit) <= limit * NEAR_LIMIT_SHARE;
  const change = (targetMs * TARGET_HEADROOM - stepMs) * GAIN_PER_MS;
  const bounded = Math.max(
    -MAX_LIMIT_CHANGE,
    Math.min(MAX_LIMIT_CHANGE, change),
  );
  const adjusted = isNear ? limit + bounded : limit;
  model.limit = Math.max(1, Math.min(maxBatch, adjusted));
}

/** Returns the step time expected of a healthy engine at a batch size, ms; undefined while samples are too few. */
export function expectedStepMs(
  model: BatchModel,
  batch: number,
): number | undefined {
  const bucket = model.steps.get(bucketOf(batch));
  if (bucket === undefined || bucket.samples < MIN_SAMPLES) return undefined;
  return bucket.value;
}

/**
 * Returns the largest batch to allow at an engine whose steps take `factor` times the expected time.
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
  const limit = model.limit ?? maxBatch * INITIAL_LIMIT_SHARE;
  return Math.max(1, Math.min(maxBatch, Math.floor(limit / factor)));
}
