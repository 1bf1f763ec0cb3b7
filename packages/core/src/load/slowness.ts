/**
 * Learns which runners are slower than expected, from the times to the first event that this daemon and others observe.
 *
 * A runner is compared with the other runners of its service as this daemon sees them, so that neither a wrong estimate
 * nor a slow entry VM makes all of them look slow. One observation has a bounded weight, and what was learned fades.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import type { Attempt } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { addSample, createAverage } from "../util/ewma.ts";
import {
  BASELINE_WEIGHT,
  HEARD_SLOWNESS_WEIGHT,
  MAX_SLOWNESS_SAMPLE,
  MIN_SLOWNESS_SAMPLE,
  OWN_SLOWNESS_WEIGHT,
  RECOVERED_FACTOR,
  SLOW_FACTOR,
  SLOWNESS_FADE_MS,
  SLOWNESS_OFFSET_MS,
} from "./constants.ts";
import { runnerLoadOf } from "./runner_loads.ts";
import type { LoadSharing, Slowness } from "./types.ts";

const RATIO_DIGITS = 2;

/**
 * Returns the slowness of a runner now: the ratio of its observed to its expected times, 1 where nothing is known.
 *
 * @example
 * ```ts
 * slownessAt({ ratio: 3, at: 0, isSlow: true, lastOwn: undefined }, 10_000); // 1 + 2 / e
 * ```
 */
export function slownessAt({ ratio, at }: Slowness, now: number): number {
  return 1 + (ratio - 1) * Math.exp((at - now) / SLOWNESS_FADE_MS);
}

/** Returns whether a runner is slow enough to be left out of the subset. */
export function isSlow(slowness: Slowness, now: number): boolean {
  return slowness.isSlow && slownessAt(slowness, now) >= RECOVERED_FACTOR;
}

/** Records a time to the first event that this daemon observed; returns the ratio that is passed on. */
export function* observeSlowness(
  state: State,
  { service, attempt }: { service: string; attempt: Attempt },
): Generator<Effect, number, void> {
  const observedMs = state.now - attempt.sentAt;
  const ratio = (observedMs + SLOWNESS_OFFSET_MS) /
    (attempt.expectation!.ms + SLOWNESS_OFFSET_MS);
  const sample = relativeTo(state.gateway!.loadSharing, service, ratio);
  const rounded = Number(sample.toFixed(RATIO_DIGITS));
  runnerLoadOf(state, attempt.runner).slowness.lastOwn = rounded;
  yield* addObservation(state, attempt.runner, {
    sample: rounded,
    weight: OWN_SLOWNESS_WEIGHT,
  });
  return rounded;
}

/** Records what another daemon observed; returns false where it is an own observation that came back. */
export function* hearSlowness(
  state: State,
  runner: string,
  sample: number,
): Generator<Effect, boolean, void> {
  const { slowness } = runnerLoadOf(state, runner);
  if (slowness.lastOwn === sample) return false;
  yield* addObservation(state, runner, {
    sample,
    weight: HEARD_SLOWNESS_WEIGHT,
  });
  return true;
}

/** Returns a ratio in relation to the mean of its service, in which it is counted. */
function relativeTo(
  { baselines }: LoadSharing,
  service: string,
  ratio: number,
): number {
  const baseline = baselines.get(service) ?? createAverage(0);
  baselines.set(service, baseline);
  addSample(baseline, Math.log(ratio), { weight: BASELINE_WEIGHT });
  return clampSample(ratio / Math.exp(baseline.value));
}

function clampSample(ratio: number): number {
  return Math.min(MAX_SLOWNESS_SAMPLE, Math.max(MIN_SLOWNESS_SAMPLE, ratio));
}

function* addObservation(
  state: State,
  runner: string,
  { sample, weight }: { sample: number; weight: number },
): Effects {
  const { slowness } = runnerLoadOf(state, runner);
  const before = slownessAt(slowness, state.now);
  slowness.ratio = before + (clampSample(sample) - before) * weight;
  slowness.at = state.now;
  const limit = slowness.isSlow ? RECOVERED_FACTOR : SLOW_FACTOR;
  const isSlowNow = slowness.ratio >= limit;
  if (isSlowNow === slowness.isSlow) return;
  slowness.isSlow = isSlowNow;
  yield {
    kind: "log",
    event: isSlowNow ? "runner_slow" : "runner_not_slow",
    fields: { runner, ratio: Number(slowness.ratio.toFixed(RATIO_DIGITS)) },
  };
}
