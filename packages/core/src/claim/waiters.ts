/**
 * Rechecks requests that wait for the holder of their idempotency key.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import { wakeWaiters } from "../request/arrive.ts";
import type { State } from "../state/types.ts";

/** Rechecks every waiting request, so that one whose key's holder is gone gets a response. */
export function* wakeAllWaiters(state: State): Effects {
  for (const key of [...state.waiters.keys()]) yield* wakeWaiters(state, key);
}
