/**
 * Chooses the runner that a request is sent to.
 *
 * Local requests are known exactly, remote ones are estimated. Of the runners with a free slot, the one with the lowest
 * occupancy is chosen. A fixed penalty is added to the occupancy of runners in other availability zones, since traffic
 * between zones costs; a random fraction of one request is added to every runner, so that the choice among nearly
 * equal runners is random.
 *
 * Services whose load reports are shared are chosen by the expected time to the first event instead (`load/choice.ts`).
 *
 * @module
 */
import { type Candidate, chooseByExpectedTime } from "../load/choice.ts";
import { isShared } from "./capacity_policy.ts";
import { weighOccupancy } from "../cold_start/mod.ts";
import { canForward, type Path, pathsOf } from "../forwarding/path.ts";
import { mayReceive } from "../pacing/mod.ts";
import { mayUse } from "../placement/may_use.ts";
import { nextFloat } from "../util/random.ts";
import type { State } from "../state/types.ts";
import {
  OTHER_ZONE_PENALTY,
  RESERVED_SLOTS,
  SUSPECT_SILENCE_MS,
  URGENT_QUEUE_REQUESTS,
} from "./constants.ts";
import { occupancyOf } from "./occupancy.ts";
import { candidatesFor, slotsOf } from "./runner_index.ts";
import { runnerStatsOf } from "./runner_stats.ts";
import type { Gateway, RoutedRequest, Runner, RunnerStats } from "./types.ts";

/** Returns the occupancy of a runner up to which a request of this priority may be sent to it. */
function usableSlots(
  slots: number,
  { priority }: RoutedRequest,
  { canUseReserved, reservedSlots }: ChooseOptions,
): number {
  if (canUseReserved) return slots + URGENT_QUEUE_REQUESTS;
  if (reservedSlots !== undefined) return slots - reservedSlots;
  return priority === 0
    ? slots + URGENT_QUEUE_REQUESTS
    : slots - RESERVED_SLOTS * priority;
}

/** True while a runner that streams to this daemon has sent nothing for several decode passes. */
export function isSilent(stats: RunnerStats, now: number): boolean {
  return stats.streaming > 0 && now - stats.lastSeenAt > SUSPECT_SILENCE_MS;
}

/** Options of {@link chooseDestination}. */
export interface ChooseOptions {
  /** True where the request may use reserved slots, since a refusal would cut off a response. */
  canUseReserved: boolean;
  /** Slots that the request leaves free, negative where it may queue at the runner; by its priority where undefined. */
  reservedSlots?: number | undefined;
}

/** The runner that a request is sent to, and the way there. */
export interface Destination {
  runner: Runner;
  path: Path;
}

/** Tell by path whether a request may be sent to a runner that way. */
const IS_USABLE: Readonly<
  Record<
    Path,
    (state: State, request: RoutedRequest, stats: RunnerStats) => boolean
  >
> = {
  direct: ({ now }, { triedRunners }, stats) =>
    !triedRunners.has(stats.runner) && stats.avoidUntil <= now &&
    !isSilent(stats, now),
  forwarded: canForward,
};

/** Chooses the runner of a request and the way there; undefined where no runner has a free slot. */
export function chooseDestination(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
  options: ChooseOptions,
): Destination | undefined {
  for (const path of pathsOf(state, request)) {
    const isUsable = (stats: RunnerStats) =>
      IS_USABLE[path](state, request, stats);
    const runner = chooseRunner(state, gateway, request, {
      ...options,
      isUsable,
    });
    if (runner !== undefined) return { runner, path };
  }
  return undefined;
}

interface RunnerOptions extends ChooseOptions {
  isUsable(stats: RunnerStats): boolean;
}

/** Yields the runners that are usable, with or without a free slot. */
function* usableCandidates(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
  { isUsable, ...options }: RunnerOptions,
): Generator<Candidate, void, void> {
  for (const runner of candidatesFor(gateway, request)) {
    if (!mayUse(state, request, runner)) continue;
    const stats = runnerStatsOf(gateway, runner.id);
    if (!isUsable(stats) || !mayReceive(state, { runner, stats })) continue;
    const occupancy = weighOccupancy(state, runner, {
      occupancy: occupancyOf(gateway, { runner, stats }, state.now),
    });
    const slots = slotsOf(gateway, runner);
    const usable = usableSlots(slots, request, options);
    yield { runner, stats, occupancy, slots, usable };
  }
}

/** Chooses a runner among those that are usable, by the capacity policy of the service. */
function chooseRunner(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
  options: RunnerOptions,
): Runner | undefined {
  const candidates = usableCandidates(state, gateway, request, options);
  return request.model !== undefined && isShared(gateway, request)
    ? chooseByExpectedTime(state, request, candidates)
    : chooseLeastLoaded(state, gateway, request, candidates);
}

/** Chooses the least loaded runner with a free slot. */
function chooseLeastLoaded(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
  candidates: Iterable<Candidate>,
): Runner | undefined {
  let best: { runner: Runner; score: number } | undefined;
  for (const { runner, occupancy, usable } of candidates) {
    // Runners of plain services shed load themselves and report it.
    if (request.model !== undefined && occupancy >= usable) continue;
    const zonePenalty = runner.zone === gateway.zone ? 0 : OTHER_ZONE_PENALTY;
    const score = occupancy + zonePenalty + nextFloat(state.random);
    if (best === undefined || score < best.score) best = { runner, score };
  }
  return best?.runner;
}
