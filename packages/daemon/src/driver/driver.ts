/**
 * Runs the reducer in real time: passes it events with a monotonic time and its effects to their handlers.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import {
  type Effect,
  type EventBody,
  hasDueEvent,
  isCatchingUp,
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
  /** Returns by how much the event loop is late, ms. */
  lateMs(): number;
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
  /** Called with each measured delay of the event loop. */
  onDelay?(delay: LoopDelay): void;
}

/** By how much the event loop ran late, and what the process did meanwhile. */
export interface LoopDelay {
  /** Time between when a timer was due and when the event loop handled an event, ms. */
  lateMs: number;
  /** Time since the loop last ran a timer, ms. */
  spanMs: number;
  /** Processor time that the process used in that span, ms: near zero where it was suspended. */
  cpuMs: number;
  /** Events that were handled in that span. */
  events: number;
}

const MICROSECONDS_PER_MS = 1_000;
const MIN_SLEEP_MS = 1;
const MAX_SLEEP_MS = 1_000;

/** Longest time for which events that were held back are handled before the sockets are read again, ms. */
const MAX_SLICE_MS = 50;

/** A larger drift between wall clock and monotonic clock indicates a suspension or a step of the wall clock, ms. */
const MAX_DRIFT_MS = 200;

/** Returns the monotonic time, ms. */
export function monotonicNow(): number {
  return performance.now();
}

/** Returns the processor time that the process has used, ms. */
function cpuTime(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}

/** Creates the event loop of a daemon. */
export function createDriver(
  { state, handlers, onError, onDelay }: DriverOptions,
): Driver {
  const queue: EventBody[] = [];
  let isDispatching = false;
  let stopped = false;
  let timer: NodeJS.Timeout | undefined;
  let wakeAt = Infinity;
  let lastTick = { at: monotonicNow(), cpuMs: cpuTime() };
  let reportedWakeAt: number | undefined;
  let eventsSinceTick = 0;
  let nextRead: NodeJS.Immediate | undefined;

  /** Returns how long ago the timer that is due was due, ms. */
  function lateness(now: number): number {
    return Math.max(0, now - wakeAt);
  }

  /** Reports the delay of the timer that is due, once. */
  function reportDelay(): void {
    if (reportedWakeAt === wakeAt) return;
    reportedWakeAt = wakeAt;
    const tick = { at: monotonicNow(), cpuMs: cpuTime() };
    onDelay?.({
      lateMs: lateness(tick.at),
      spanMs: tick.at - lastTick.at,
      cpuMs: tick.cpuMs - lastTick.cpuMs,
      events: eventsSinceTick,
    });
    lastTick = tick;
    eventsSinceTick = 0;
  }

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
    // A suspension may stop the monotonic clock, and then no timer is late.
    step({ kind: "clock_jumped", driftMs }, { suspendedMs: driftMs });
  }

  function step(event: EventBody, { suspendedMs = 0 } = {}): void {
    try {
      const at = monotonicNow();
      const lateMs = Math.max(lateness(at), suspendedMs);
      for (const effect of reduce(state, { ...event, at, lateMs })) {
        runEffect(effect);
      }
    } catch (error) {
      onError(error);
    }
  }

  function scheduleTick(): void {
    const next = nextTimerAt(state) ?? Infinity;
    const isArmed = timer !== undefined && next >= wakeAt;
    // While catching up, timers run after each read.
    if (stopped || (isArmed && nextRead === undefined)) return;
    clearTimeout(timer);
    timer = undefined;
    wakeAt = next;
    if (nextRead !== undefined) return;
    const pauseMs = Math.min(
      MAX_SLEEP_MS,
      Math.max(MIN_SLEEP_MS, next - monotonicNow()),
    );
    timer = setTimeout(() => {
      timer = undefined;
      reportDelay();
      dispatch({ kind: "tick" });
    }, pauseMs);
  }

  function dispatch(event: EventBody): void {
    if (stopped) return;
    eventsSinceTick += 1;
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
    if (isCatchingUp(state)) nextRead ??= setImmediate(catchUp);
    scheduleTick();
  }

  /**
   * Called once the event loop has read all sockets: lets the reducer decide on what waited for that, for a short time,
   * so that what the sockets said stays recent.
   */
  function catchUp(): void {
    nextRead = undefined;
    reportDelay();
    dispatch({ kind: "sockets_read" });
    const until = monotonicNow() + MAX_SLICE_MS;
    while (!stopped && hasDueEvent(state) && monotonicNow() < until) {
      dispatch({ kind: "deferred_due" });
    }
  }

  function stop(): void {
    stopped = true;
    clearTimeout(timer);
    clearImmediate(nextRead);
  }

  scheduleTick();
  return { state, dispatch, lateMs: () => lateness(monotonicNow()), stop };
}
