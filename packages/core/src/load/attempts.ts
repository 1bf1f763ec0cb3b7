/**
 * Follows the attempts of requests for the choice by expected time: their sends, first events and ends.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import { occupancyOf } from "../gateway/occupancy.ts";
import { slotsOf } from "../gateway/runner_index.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import type { RoutedRequest, Runner } from "../gateway/types.ts";
import type { State } from "../state/types.ts";
import { LOADED_SHARE } from "./constants.ts";
import { expectedMsOf } from "./choice.ts";
import { recordRatio, recordTrial } from "./ejection.ts";
import { recordObservation } from "./reports.ts";
import { isShared } from "../gateway/capacity_policy.ts";
import { recordInFlight } from "./runner_loads.ts";
import { observeSlowness } from "./slowness.ts";
import { countSend } from "./subset.ts";
import type { FirstEventExpectation, FirstEventTimes } from "./types.ts";

/**
 * Records a request that is about to be sent to a runner, before it counts there.
 *
 * Returns what is expected of it; undefined for services whose load is not shared.
 */
export function recordSharedSend(
  state: State,
  request: RoutedRequest,
  runner: Runner,
): FirstEventExpectation | undefined {
  const gateway = state.gateway!;
  if (!isShared(gateway, runner)) return undefined;
  countSend(state, request);
  const stats = runnerStatsOf(gateway, runner.id);
  const occupancy = occupancyOf(gateway, { runner, stats }, state.now);
  recordInFlight(state, runner.id, 1);
  recordTrial(state, runner.id);
  const slots = slotsOf(gateway, runner);
  return {
    ms: expectedMsOf(state, request, { runner, occupancy, slots }),
    isLoaded: occupancy >= slots * LOADED_SHARE,
  };
}

/** Returns whether most slots of a runner were taken when it last reported. */
function isLoadedByReport({ gateway }: State, id: string): boolean {
  const runner = gateway!.runners.get(id);
  const load = gateway!.runnerStats.get(id)?.load;
  if (runner === undefined || load === undefined) return false;
  const slots = slotsOf(gateway!, runner);
  return load.running + load.waiting >= slots * LOADED_SHARE;
}

/**
 * Compares the time to the first event of an attempt with the expected one.
 *
 * Returns undefined where none was expected, and where a forwarder or a caller that does not read had part in the time.
 */
export function* observeFirstEvent(
  state: State,
  request: RoutedRequest,
): Generator<Effect, FirstEventTimes | undefined, void> {
  const attempt = request.currentAttempt!;
  const { expectation, forwarder, sentAt, runner } = attempt;
  const isFirst = attempt.progressCount === 1;
  if (expectation === undefined || !isFirst) return undefined;
  if (forwarder !== undefined || attempt.isBlocked) return undefined;
  if (!expectation.isLoaded && !isLoadedByReport(state, runner)) {
    const { service } = request;
    const ratio = yield* observeSlowness(state, { service, attempt });
    recordObservation(state, runner, ratio);
    yield* recordRatio(state, runner, ratio);
  }
  return { expectedMs: expectation.ms, observedMs: state.now - sentAt };
}
