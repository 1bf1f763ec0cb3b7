/**
 * Chooses the runner that a request is sent to.
 *
 * Own requests are known exactly, those of other daemons are estimated; of the runners with a place, the emptiest in this
 * availability zone is taken, and one of another zone where it is emptier by more than the bytes between zones cost.
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

/** Returns what is known of a runner as a target. */
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

/** Places at a runner that a request of this priority may still take. */
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
  /** True where no place is kept back, since a refusal would break off an answer. */
  resumed: boolean;
}

interface Candidate {
  runner: Runner;
  score: number;
}

/** Chooses the least loaded runner with a place; undefined where none has one. */
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
    // Plain services shed by themselves and say so.
    if (delivery.model !== undefined && occupancy >= places) continue;
    const far = runner.zone === gateway.zone ? 0 : FAR_PLACES;
    const score = occupancy + far + nextFloat(state.random);
    if (best === undefined || score < best.score) best = { runner, score };
  }
  return best?.runner;
}
