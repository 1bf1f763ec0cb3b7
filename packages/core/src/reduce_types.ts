/**
 * Types of the reducer's handlers.
 *
 * @module
 */
import type { Effect } from "./effect/types.ts";
import type { EventKind, EventOf } from "./event/types.ts";
import type { State } from "./state/types.ts";
import type { Timer } from "./util/timer_queue.ts";

/** A handler's run, which yields effects. */
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

/** Yields no effects; for handlers that change at most the state. */
export function* noEffects(): Effects {}
