/**
 * Runs the reducer in real time: passes it events with a monotonic time and its effects to their handlers.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import {
  type Effect,
  type EventBody,
  nextTimerAt,
  reduce,
  type State,
} from "@primroseshed/core";

/** Handlers of effects by kind. */
export type EffectHandlers = {
  [K in Effect["kind"]]: (effect: Extract<Effect, { kind: K }>) => void;
};

/** Passes events to the reducer. */
export interface Driver {
  state: State;
  /** Handles an event; its effects run before this returns unless another event is being handled. */
  dispatch(event: EventBody): void;
  /** Stops the timers. */
  stop(): void;
}

/** Options of {@link createDriver}. */
export interface DriverOptions {
  state: State;
  /** Effects without a handler are reported as errors. */
  handlers: Partial<EffectHandlers>;
  /**
   * Called when the reducer or a handler throws, then with the effect that has failed; the event loop continues.
   *
   * The reducer takes each effect for done, so whoever is told must keep later effects on the same matter from acting as
   * if this one had been.
   */
  onError(error: unknown, failed?: Effect): void;
}

const MIN_SLEEP_MS = 1;
const MAX_SLEEP_MS = 1_000;

/** A larger drift between wall clock and monotonic clock indicates a suspension or a step of the wall clock, ms. */
const MAX_DRIFT_MS = 200;

/** Returns the monotonic time, ms. */
export function monotonicNow(): number {
  return performance.now();
}

/** Creates the event loop of a daemon. */
export function createDriver(
  { state, handlers, onError }: DriverOptions,
): Driver {
  const queue: EventBody[] = [];
  let isDispatching = false;
  let stopped = false;
  let timer: NodeJS.Timeout | undefined;
  let wakeAt = Infinity;

  function runEffect(effect: Effect): void {
    try {
      const handler = handlers[effect.kind] as
        | ((effect: Effect) => void)
        | undefined;
      if (handler === undefined) {
        throw new Error(`Cannot run ${effect.kind}: it has no handler`);
      }
      handler(effect);
    } catch (error) {
      onError(error, effect);
    }
  }

  let clockOffset = Date.now() - monotonicNow();

  function checkClocks(): void {
    const offset = Date.now() - monotonicNow();
    const driftMs = offset - clockOffset;
    if (Math.abs(driftMs) < MAX_DRIFT_MS) return;
    clockOffset = offset;
    step({ kind: "clock_jumped", driftMs });
  }

  function step(event: EventBody): void {
    try {
      for (const effect of reduce(state, { ...event, at: monotonicNow() })) {
        runEffect(effect);
      }
    } catch (error) {
      onError(error);
    }
  }

  function scheduleTick(): void {
    const next = nextTimerAt(state) ?? Infinity;
    if (stopped || (next >= wakeAt && timer !== undefined)) return;
    clearTimeout(timer);
    wakeAt = next;
    const pauseMs = Math.min(
      MAX_SLEEP_MS,
      Math.max(MIN_SLEEP_MS, next - monotonicNow()),
    );
    timer = setTimeout(() => {
      timer = undefined;
      wakeAt = Infinity;
      dispatch({ kind: "tick" });
    }, pauseMs);
  }

  function dispatch(event: EventBody): void {
    if (stopped) return;
    queue.push(event);
    if (isDispatching) return;
    isDispatching = true;
    checkClocks();
    for (
      let next = queue.shift();
      next !== undefined;
      next = queue.shift()
    ) step(next);
    isDispatching = false;
    scheduleTick();
  }

  function stop(): void {
    stopped = true;
    clearTimeout(timer);
  }

  scheduleTick();
  return { state, dispatch, stop };
}
