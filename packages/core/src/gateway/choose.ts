/**
 * Chooses the runner that a request is sent to.
 *
 * Local requests are known exactly, remote ones are estimated. A group of engines is drawn at random among those with a
 * free slot, the more likely the more room it has: the daemons of a fleet have much the same estimates, so that all of
 * them would fill the one that seems least loaded. Of the runners of a plain service, the one with the lowest occupancy
 * is chosen; a random fraction of one request is added to each, so that the choice among nearly equal ones is random. A
 * fixed penalty is added to the occupancy of runners in other availability zones, since traffic between zones costs.
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
  MAX_ROOM_DRAWS,
  MIN_ROOM,
  MIN_ROOM_DRAWS,
  OTHER_ZONE_PENALTY,
  RESERVED_SLOTS,
  ROOM_EXPONENT,
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
  if (request.model === undefined) {
    return chooseLeastLoaded(state, gateway, candidates);
  }
  return isShared(gateway, request)
    ? chooseByExpectedTime(state, request, candidates)
    : drawByRoom(state, gateway, candidates);
}

/** Returns the occupancy of a runner, with the penalty of another availability zone. */
function penalizedOccupancy(
  { zone }: Gateway,
  { runner, occupancy }: Candidate,
): number {
  return occupancy + (runner.zone === zone ? 0 : OTHER_ZONE_PENALTY);
}

/** Draws a few runners with a free slot, with weights that grow with their room, and returns the least loaded one. */
function drawByRoom(
  state: State,
  gateway: Gateway,
  candidates: Iterable<Candidate>,
): Runner | undefined {
  const open: WeighedRunner[] = [];
  let sum = 0;
  for (const candidate of candidates) {
    const { runner, occupancy, usable } = candidate;
    if (occupancy >= usable) continue;
    const room = usable - penalizedOccupancy(gateway, candidate);
    const weight = Math.max(MIN_ROOM, room) ** ROOM_EXPONENT;
    open.push({ runner, weight });
    sum += weight;
  }
  const draw = () => drawByWeight(open, nextFloat(state.random) * sum);
  let best = draw();
  for (let draws = 1; draws < drawsOf(gateway); draws += 1) {
    const other = draw();
    if (other !== undefined && other.weight > best!.weight) best = other;
  }
  return best?.runner;
}

/**
 * Returns how many groups a daemon draws: the smaller its share of all requests, the more other daemons choose by the
 * same reports at the same time.
 */
function drawsOf({ workShare }: Gateway): number {
  return Math.max(MIN_ROOM_DRAWS, Math.ceil(workShare.value * MAX_ROOM_DRAWS));
}

/** A runner with its weight in a draw. */
interface WeighedRunner {
  runner: Runner;
  weight: number;
}

/** Returns the runner at a point of the sum of all weights. */
function drawByWeight(
  runners: readonly WeighedRunner[],
  point: number,
): WeighedRunner | undefined {
  let left = point;
  for (const each of runners) {
    left -= each.weight;
    if (left < 0) return each;
  }
  return runners.at(-1);
}

/** Chooses the least loaded runner of a plain service; these shed load themselves and report it. */
function chooseLeastLoaded(
  state: State,
  gateway: Gateway,
  candidates: Iterable<Candidate>,
): Runner | undefined {
  let best: { runner: Runner; score: number } | undefined;
  for (const candidate of candidates) {
    const score = penalizedOccupancy(gateway, candidate) +
      nextFloat(state.random);
    if (best !== undefined && score >= best.score) continue;
    best = { runner: candidate.runner, score };
  }
  return best?.runner;
}
