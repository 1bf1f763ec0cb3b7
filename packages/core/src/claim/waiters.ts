/**
 * Looks again at requests that wait for the holder of their key.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import { wakeWaiters } from "../request/arrive.ts";
import type { State } from "../state/types.ts";

/** Wakes every waiter, so that one whose holder is gone gets its answer. */
export function* wakeAllWaiters(state: State): Effects {
  for (const key of [...state.waiters.keys()]) yield* wakeWaiters(state, key);
}
