/**
 * Learns how the time between tokens grows with an engine's batch, and the batch that still meets the target.
 *
 * @module
 */

/** Weighted sums of a straight-line fit of step time over batch size. */
export interface BatchModel {
  weight: number;
  batch: number;
  step: number;
  batchSquared: number;
  batchStep: number;
}

const DECAY = 0.995;
const MIN_SPREAD = 4;
const MIN_SLOPE_MS = 0.02;
/** Share of the between-token target that the limit aims at; the rest absorbs prefill bursts. */
const TARGET_HEADROOM = 0.97;

/** Creates a model that has seen nothing. */
export function createBatchModel(): BatchModel {
  return { weight: 0, batch: 0, step: 0, batchSquared: 0, batchStep: 0 };
}

/** Adds one report of `stepMs` at batch size `batch`. */
export function learnStep(
  model: BatchModel,
  batch: number,
  { stepMs }: { stepMs: number },
): void {
  model.weight = model.weight * DECAY + 1;
  model.batch = model.batch * DECAY + batch;
  model.step = model.step * DECAY + stepMs;
  model.batchSquared = model.batchSquared * DECAY + batch * batch;
  model.batchStep = model.batchStep * DECAY + batch * stepMs;
}

/** The fitted line, or undefined while the samples do not spread enough. */
export function fitLine(
  model: BatchModel,
): { baseMs: number; slopeMs: number } | undefined {
  if (model.weight < 2) return undefined;
  const meanBatch = model.batch / model.weight;
  const meanStep = model.step / model.weight;
  const spread = model.batchSquared / model.weight - meanBatch * meanBatch;
  if (spread < MIN_SPREAD) return undefined;
  const slope = (model.batchStep / model.weight - meanBatch * meanStep) /
    spread;
  const slopeMs = Math.max(MIN_SLOPE_MS, slope);
  return { baseMs: meanStep - slopeMs * meanBatch, slopeMs };
}

/** Step time expected at a batch size, ms. */
export function expectedStep(
  model: BatchModel,
  batch: number,
): number | undefined {
  const line = fitLine(model);
  return line === undefined ? undefined : line.baseMs + line.slopeMs * batch;
}

/**
 * Largest batch expected to stay within the between-token target.
 *
 * @example
 * ```ts
 * batchLimit(model, { targetMs: 29, maxBatch: 64, factor: 1 });
 * ```
 */
export function batchLimit(
  model: BatchModel,
  { targetMs, maxBatch, factor }: {
    targetMs: number;
    maxBatch: number;
    factor: number;
  },
): number {
  const goalMs = targetMs * TARGET_HEADROOM / factor;
  const line = fitLine(model);
  if (line === undefined) return unfittedLimit(model, { goalMs, maxBatch });
  const batch = Math.floor((goalMs - line.baseMs) / line.slopeMs);
  return Math.max(1, Math.min(maxBatch, batch));
}

function unfittedLimit(
  model: BatchModel,
  { goalMs, maxBatch }: { goalMs: number; maxBatch: number },
): number {
  if (model.weight === 0) return Math.ceil(maxBatch / 2);
  const meanStep = model.step / model.weight;
  const scale = Math.min(1, goalMs / Math.max(meanStep, 1));
  return Math.max(1, Math.ceil(maxBatch / 2 * scale));
}
