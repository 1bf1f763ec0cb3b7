/**
 * Chooses the runner that a request is sent to.
 *
 * Local requests are known exactly, remote ones are estimated. Of the runners with a free slot, the one with the lowest
 * occupancy in this availability zone is chosen. A runner of another zone is chosen only where its occupancy is lower
 * by more than a fixed penalty, since traffic between zones costs.
 *
 * @module
 */
import { nextFloat } from "../util/random.ts";
import type { State } from "../state/types.ts";
import {
  FAR_PLACES,
  RESERVED_PLACES,
  SUSPECT_SILENCE_MS,
  URGENT_QUEUE,
} from "./constants.ts";
import { occupancyOf } from "./occupancy.ts";
import { takersOf } from "./roster.ts";
import type { Delivery, Gateway, Runner, Target } from "./types.ts";

/** Returns the stats of a runner, created where there are none yet. */
export function targetOf(gateway: Gateway, runner: string): Target {
  let target = gateway.targets.get(runner);
  if (target === undefined) {
    target = {
      runner,
      inFlight: 0,
      streaming: 0,
      load: undefined,
      avoidUntil: -Infinity,
      failures: 0,
      heardAt: -Infinity,
    };
    gateway.targets.set(runner, target);
  }
  return target;
}

function slotsOf(gateway: Gateway, runner: Runner): number {
  const engine = gateway.routing?.services.get(runner.service)?.engine;
  return engine?.slots ?? runner.slots;
}

/** Returns the occupancy of a runner up to which a request of this priority may be sent to it. */
function placesFor(
  slots: number,
  { priority }: Delivery,
  { resumed }: ChooseOptions,
): number {
  if (resumed) return slots + URGENT_QUEUE;
  return priority === 0
    ? slots + URGENT_QUEUE
    : slots - RESERVED_PLACES * priority;
}

/** True while a runner that streams to this daemon has sent nothing for several decode passes. */
export function isSilent(target: Target, now: number): boolean {
  return target.streaming > 0 && now - target.heardAt > SUSPECT_SILENCE_MS;
}

/** Options of {@link chooseRunner}. */
export interface ChooseOptions {
  /** True where the request may use reserved slots, since a refusal would cut off a response. */
  resumed: boolean;
}

interface Candidate {
  runner: Runner;
  score: number;
}

/** Chooses the least loaded runner with a free slot; undefined where none has one. */
export function chooseRunner(
  state: State,
  gateway: Gateway,
  delivery: Delivery,
  { resumed }: ChooseOptions,
): Runner | undefined {
  let best: Candidate | undefined;
  for (const runner of takersOf(gateway, delivery)) {
    if (delivery.tried.has(runner.id)) continue;
    const target = targetOf(gateway, runner.id);
    if (target.avoidUntil > state.now || isSilent(target, state.now)) continue;
    const occupancy = occupancyOf(gateway, { runner, target }, state.now);
    const slots = slotsOf(gateway, runner);
    const places = placesFor(slots, delivery, { resumed });
    // Runners of plain services shed load themselves and report it.
    if (delivery.model !== undefined && occupancy >= places) continue;
    const far = runner.zone === gateway.zone ? 0 : FAR_PLACES;
    const score = occupancy + far + nextFloat(state.random);
    if (best === undefined || score < best.score) best = { runner, score };
  }
  return best?.runner;
}
