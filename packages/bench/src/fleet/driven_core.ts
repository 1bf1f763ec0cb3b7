/**
 * Runs one real core in virtual time.
 *
 * @module
 */
import {
  createState,
  type Effect,
  type EventBody,
  nextTimerAt,
  reduce,
  type State,
} from "@primroseshed/core";
import type { Clock } from "./clock.ts";

/** Options of {@link createDrivenCore}. */
export interface DrivenCoreOptions {
  name: string;
  seed: number;
  zone?: string;
  incarnation?: string;
  /** Called with each effect of the core. */
  onEffect(effect: Effect): void;
  /** Called when a timer is due; feeds a tick by default. */
  onTimer?(): void;
}

/** A core whose timers run on a virtual clock. */
export interface DrivenCore {
  state: State;
  feed(event: EventBody): void;
}

/** Creates a core whose timers run on `clock`. */
export function createDrivenCore(
  clock: Clock,
  { name, seed, zone = "suva-a", incarnation = "1", onEffect, onTimer }:
    DrivenCoreOptions,
): DrivenCore {
  const node = { name, zone, site: zone, incarnation, balancerLagMs: 100 };
  const state = createState(node, { seed, now: clock.now });
  let timerAt = Infinity;

  function scheduleTimer(): void {
    const next = nextTimerAt(state) ?? Infinity;
    if (next >= timerAt) return;
    timerAt = next;
    clock.at(next, () => {
      if (timerAt !== next) return;
      timerAt = Infinity;
      if (onTimer === undefined) feed({ kind: "tick" });
      else onTimer();
    });
  }

  function feed(event: EventBody): void {
    for (const effect of reduce(state, { ...event, at: clock.now })) {
      onEffect(effect);
    }
    scheduleTimer();
  }

  return { state, feed };
}

/** Returns the event that announces a peer to an entry. */
export function peerJoinedEvent(name: string, incarnation = "1"): EventBody {
  return {
    kind: "peer_joined",
    peer: name,
    address: "",
    zone: "",
    incarnation,
  };
}
