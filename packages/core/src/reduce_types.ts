/**
 * Shape of the reducer's handlers.
 *
 * @module
 */
import type { Effect } from "./effect/types.ts";
import type { EventKind, EventOf } from "./event/types.ts";
import type { State } from "./state/types.ts";
import type { Timer } from "./util/timer_queue.ts";

/** A run of decisions that yields effects. */
export type Effects = Generator<Effect, void, void>;
/** Handles one kind of event. */
export type Handler<K extends EventKind> = (
  state: State,
  event: EventOf<K>,
) => Effects;
/** Handles one kind of due timer. */
export type TimerHandler<K extends Timer["kind"]> = (
  state: State,
  timer: Extract<Timer, { kind: K }>,
) => Effects;

/** The effects of a handler that only changes the state. */
export function* noEffects(): Effects {}
