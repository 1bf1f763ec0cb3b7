/**
 * Chooses a runner by the expected time to the first event, for services whose load reports are shared.
 *
 * The better of two candidates drawn at random is taken: reports are some 100 ms old, and daemons that all took the
 * least loaded group by the same reports would overload it together. Candidates are drawn from the daemon's subset of
 * its own zone; another runner is taken where it is better by more than it costs.
 *
 * @module
 */
import type { RoutedRequest, Runner, RunnerStats } from "../gateway/types.ts";
import type { State } from "../state/types.ts";
import { nextIndex } from "../util/random.ts";
import {
  MIN_SUBSET_SIZE,
  NEW_CONNECTION_COST_MS,
  OTHER_ZONE_COST_MS,
} from "./constants.ts";
import { mayUse } from "./ejection.ts";
import { expectedFirstEventMs } from "./expected_time.ts";
import { runnerLoadOf } from "./runner_loads.ts";
import { isSlow, slownessAt } from "./slowness.ts";
import type { RunnerLoad } from "./types.ts";
import { insertByPlace, type SubsetPlace, subsetSize } from "./subset.ts";

/** A runner that a request may be sent to, with its load. */
export interface Candidate {
  runner: Runner;
  stats: RunnerStats;
  /** Requests estimated there, running and waiting. */
  occupancy: number;
  slots: number;
  /** Occupancy up to which a request of this priority is sent there. */
  usable: number;
}

type RankedCandidate = Candidate & SubsetPlace;

interface Choice {
  runner: Runner;
  expectedMs: number;
}

/** Returns the expected time from the send of a request to its first event at a runner, ms. */
export function expectedMsOf(
  state: State,
  request: RoutedRequest,
  { runner, occupancy, slots }: Pick<
    Candidate,
    "runner" | "occupancy" | "slots"
  >,
): number {
  const { zone, routing } = state.gateway!;
  const engine = routing?.services.get(request.service)?.engine;
  const model = engine?.models.find(({ name }) => name === request.model);
  const { slowness } = runnerLoadOf(state, runner.id);
  return expectedFirstEventMs({
    speed: engine?.speed,
    pace: model?.pace ?? 1,
    slots,
    occupancy,
    promptTokens: request.promptTokens,
    isOtherZone: runner.zone !== zone,
    slowness: slownessAt(slowness, state.now),
  });
}

/** Runners with room, as a daemon uses them. */
interface RankedCandidates {
  /** The subset of the own zone. */
  subset: RankedCandidate[];
  /** The other ones of the own zone. */
  beyond: RankedCandidate[];
  /** The first ones of the other zones. */
  remote: RankedCandidate[];
}

/** Chooses the runner of a request among those that are usable; undefined where it would wait too long at all. */
export function chooseByExpectedTime(
  state: State,
  request: RoutedRequest,
  candidates: Iterable<Candidate>,
): Runner | undefined {
  const ranked = rankCandidates(state, request, candidates);
  const inside = chooseOfTwo(state, request, ranked.subset);
  const outside = chooseOfTwo(state, request, ranked.beyond);
  const near = betterBy(NEW_CONNECTION_COST_MS, inside, outside);
  const far = chooseOfTwo(state, request, ranked.remote);
  return betterBy(OTHER_ZONE_COST_MS, near, far)?.runner;
}

/** Sorts candidates in one pass, since a choice goes over dozens of them. */
function rankCandidates(
  state: State,
  request: RoutedRequest,
  candidates: Iterable<Candidate>,
): RankedCandidates {
  const { zone } = state.gateway!;
  const size = subsetSize(state, request);
  const subset: RankedCandidate[] = [];
  const beyond: RankedCandidate[] = [];
  const remote: RankedCandidate[] = [];
  for (const candidate of candidates) {
    const load = runnerLoadOf(state, candidate.runner.id);
    if (!mayUse(load.ejection, state.now)) continue;
    const ranked = rankCandidate(candidate, load, state.now);
    if (ranked.occupancy >= ranked.usable) continue;
    if (ranked.runner.zone !== zone) {
      insertByPlace(remote, ranked, MIN_SUBSET_SIZE);
    } else {
      const left = insertByPlace(subset, ranked, size);
      if (left !== undefined) beyond.push(left);
    }
  }
  return { subset, beyond, remote };
}

function rankCandidate(
  { runner, stats, occupancy, slots, usable }: Candidate,
  { affinity, slowness }: RunnerLoad,
  now: number,
): RankedCandidate {
  return {
    runner,
    stats,
    occupancy,
    slots,
    usable,
    affinity,
    isSlow: isSlow(slowness, now),
  };
}

/** Returns the better of two candidates drawn at random. */
function chooseOfTwo(
  state: State,
  request: RoutedRequest,
  candidates: readonly RankedCandidate[],
): Choice | undefined {
  if (candidates.length < 2) return drawOne(state, request, candidates);
  const first = nextIndex(state.random, candidates.length);
  const step = 1 + nextIndex(state.random, candidates.length - 1);
  const second = (first + step) % candidates.length;
  return betterBy(
    0,
    choiceOf(state, request, candidates[first]!),
    choiceOf(state, request, candidates[second]!),
  );
}

function drawOne(
  state: State,
  request: RoutedRequest,
  candidates: readonly RankedCandidate[],
): Choice | undefined {
  if (candidates.length === 0) return undefined;
  const index = nextIndex(state.random, candidates.length);
  return choiceOf(state, request, candidates[index]!);
}

function choiceOf(
  state: State,
  request: RoutedRequest,
  candidate: Candidate,
): Choice {
  const expectedMs = expectedMsOf(state, request, candidate);
  return { runner: candidate.runner, expectedMs };
}

/** Returns the preferred choice, or the other one where that is sooner by more than `costMs`. */
function betterBy(
  costMs: number,
  preferred: Choice | undefined,
  other: Choice | undefined,
): Choice | undefined {
  if (preferred === undefined || other === undefined) return preferred ?? other;
  return other.expectedMs + costMs < preferred.expectedMs ? other : preferred;
}
