/**
 * Estimates the time to the first event of a request at a runner, from the speed of its engine and its load.
 *
 * An engine works in passes of several decode steps. A request waits for a slot, for the rest of the pass in progress,
 * and for the prompts that are being read; then its own prompt is read in pieces, with one step for each.
 *
 * @module
 */
import type { EngineSpeed } from "../gateway/fleet_types.ts";
import { OTHER_ZONE_ROUND_TRIP_MS } from "./constants.ts";

/** What the expected time to a first event depends on. */
export interface ExpectedTimeInput {
  /** Undefined where the configuration does not name it. */
  speed: EngineSpeed | undefined;
  /** Factor of the model on all processing times. */
  pace: number;
  /** Requests that the runner runs at once. */
  slots: number;
  /** Requests that are estimated there, running and waiting, without this one. */
  occupancy: number;
  /** Prompt of this request, tokens. */
  promptTokens: number;
  /** True where the runner is in another availability zone. */
  isOtherZone: boolean;
  /** Observed times of the runner in relation to expected ones; 1 is as expected. */
  slowness: number;
}

const TOKENS_PER_KILOTOKEN = 1_000;
const MS_PER_SECOND = 1_000;
/** Typical error of the estimated requests at a runner. */
const OCCUPANCY_ERROR = 2;
/** Mean part of a pass that is left when a request arrives. */
const MEAN_PASS_REST = 0.5;

/** Speed assumed where the configuration names none; observed times correct it. */
const DEFAULT_SPEED: EngineSpeed = {
  stepMs: 8,
  stepMsPerRequest: 0.1,
  stepMsPerContextKiloToken: 0.01,
  stepsPerPass: 5,
  prefillTokensPerSecond: 40_000,
  prefillChunkTokens: 2_048,
  usual: undefined,
};
/** Mean request assumed where the configuration names none. */
const DEFAULT_REQUEST = { promptTokens: 1_000, outputTokens: 100 };

/**
 * Returns the expected time from the send of a request to its first event, ms.
 *
 * @example
 * ```ts
 * // A pass of 5 steps of 8 ms in progress, a prompt of 25 ms, and the first step: 20 + 25 + 8 ms.
 * expectedFirstEventMs({ ...input, occupancy: 1, promptTokens: 1_000 });
 * ```
 */
export function expectedFirstEventMs(input: ExpectedTimeInput): number {
  const { pace, slots, occupancy, promptTokens, isOtherZone, slowness } = input;
  const speed = input.speed ?? DEFAULT_SPEED;
  const usual = speed.usual ?? DEFAULT_REQUEST;
  const running = Math.min(slots, Math.max(0, occupancy));
  const stepMs = stepMsOf(speed, running, usual);
  const usualReadMs = readMs(speed, usual.promptTokens);
  const holdingMs = usualReadMs + usual.outputTokens * stepMs;
  const slotWaitMs = expectedWaiting(occupancy, slots) * holdingMs / slots;
  const passRestMs = Math.min(1, running) * MEAN_PASS_REST *
    speed.stepsPerPass * stepMs;
  // The running requests that still read their prompts have half of them left in the mean.
  const promptsAheadMs = running * (usualReadMs / holdingMs) * usualReadMs / 2;
  const pieces = Math.ceil(promptTokens / speed.prefillChunkTokens);
  const ownMs = readMs(speed, promptTokens) + Math.max(1, pieces) * stepMs;
  const networkMs = isOtherZone ? OTHER_ZONE_ROUND_TRIP_MS : 0;
  return networkMs +
    (slotWaitMs + passRestMs + promptsAheadMs + ownMs) * pace * slowness;
}

function readMs(speed: EngineSpeed, tokens: number): number {
  return tokens * MS_PER_SECOND / speed.prefillTokensPerSecond;
}

/**
 * Returns the requests that have to end before this one gets a slot, in the mean over the error of the estimate: one
 * that is just below the slots may be above them.
 */
function expectedWaiting(occupancy: number, slots: number): number {
  const excess = occupancy - slots + 1;
  return OCCUPANCY_ERROR * Math.log1p(Math.exp(excess / OCCUPANCY_ERROR));
}

/** Returns the time of one decode step while `running` requests write, ms. */
function stepMsOf(
  speed: EngineSpeed,
  running: number,
  usual: { promptTokens: number; outputTokens: number },
): number {
  const contextTokens = usual.promptTokens + usual.outputTokens / 2;
  const msPerRequest = speed.stepMsPerRequest +
    speed.stepMsPerContextKiloToken * contextTokens / TOKENS_PER_KILOTOKEN;
  return speed.stepMs + running * msPerRequest;
}
