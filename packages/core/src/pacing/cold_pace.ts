/**
 * The pace at which this daemon sends to a cold runner.
 *
 * @module
 */
import { activeColdStart } from "../cold_start/cold_runners.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import type { ColdStart, Gateway, Runner } from "../gateway/types.ts";
import type { State } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import { SPACING_MARGIN_MS } from "./constants.ts";
import { ownsRunner } from "./ownership.ts";
import { coldRateOf, coldSharesOf, limitShareOf } from "./shares.ts";

const MS_PER_SECOND = 1_000;

/** Returns the time between two requests of one daemon that sends to a cold runner, ms; infinite where it may send none. */
function intervalOf(gateway: Gateway, coldStart: ColdStart): number {
  const { settings, readSharing } = gateway;
  if (readSharing.self === undefined) {
    const rate = coldRateOf(coldStart, settings) * limitShareOf(gateway);
    return MS_PER_SECOND / rate;
  }
  // One request more would fall into a span of one second if they came exactly a share of it apart.
  const spanMs = MS_PER_SECOND + SPACING_MARGIN_MS;
  return spanMs / coldSharesOf(coldStart, settings).requestsPerOwner;
}

/**
 * Returns the time between two requests of this daemon to a runner, ms: 0 where it is warm, infinite where this daemon
 * may send it none.
 */
export function coldIntervalOf(state: State, runner: Runner): number {
  const coldStart = activeColdStart(state, runner);
  if (coldStart === undefined) return 0;
  const gateway = state.gateway!;
  const isShared = gateway.readSharing.self !== undefined;
  if (isShared && !ownsRunner(state, runner)) return Infinity;
  return intervalOf(gateway, coldStart);
}

/** Spreads the first requests of the daemons to a runner that has turned cold, of which all learn at the same time. */
export function spreadFirstSend(state: State, runner: Runner): void {
  const coldStart = activeColdStart(state, runner);
  if (coldStart === undefined) return;
  const intervalMs = intervalOf(state.gateway!, coldStart);
  if (!Number.isFinite(intervalMs)) return;
  const stats = runnerStatsOf(state.gateway!, runner.id);
  const firstAt = state.now + nextFloat(state.random) * intervalMs;
  stats.nextSendAt = Math.max(stats.nextSendAt, firstAt);
}
