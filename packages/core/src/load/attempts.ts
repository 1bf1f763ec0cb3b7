/**
 * Follows the attempts of requests for the choice by expected time: their sends, first events and ends.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import { occupancyOf } from "../gateway/occupancy.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import type { RoutedRequest, Runner } from "../gateway/types.ts";
import type { State } from "../state/types.ts";
import { expectedMsOf } from "./choice.ts";
import { recordObservation } from "./reports.ts";
import { isShared, recordInFlight } from "./runner_loads.ts";
import { observeSlowness } from "./slowness.ts";
import { countSend } from "./subset.ts";
import type { FirstEventTimes } from "./types.ts";

/**
 * Records a request that is about to be sent to a runner, before it counts there.
 *
 * Returns the expected time to its first event, ms; undefined for services whose load is not shared.
 */
export function recordSharedSend(
  state: State,
  request: RoutedRequest,
  runner: Runner,
): number | undefined {
  const gateway = state.gateway!;
  if (!isShared(gateway, runner)) return undefined;
  countSend(state, request);
  const stats = runnerStatsOf(gateway, runner.id);
  const occupancy = occupancyOf(gateway, { runner, stats }, state.now);
  const engine = gateway.routing?.services.get(runner.service)?.engine;
  recordInFlight(state, runner.id, 1);
  return expectedMsOf(state, request, {
    runner,
    occupancy,
    slots: engine?.slots ?? runner.slots,
  });
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
  const { expectedFirstEventMs: expectedMs, forwarder, sentAt } = attempt;
  const isFirst = attempt.progressCount === 1;
  if (expectedMs === undefined || !isFirst) return undefined;
  if (forwarder !== undefined || attempt.isBlocked) return undefined;
  const { service } = request;
  const slowness = yield* observeSlowness(state, { service, attempt });
  recordObservation(state, attempt.runner, slowness);
  return { expectedMs, observedMs: state.now - sentAt };
}
