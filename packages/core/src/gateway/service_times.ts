/**
 * Records how long requests hold their slots, and how soon their first events come, where capacity is shared.
 *
 * @module
 */
import {
  recordFirstEventTime,
  recordHoldingTime,
} from "../admission/expected_wait.ts";
import type { State } from "../state/types.ts";
import { isStream } from "./routes.ts";
import { isShared } from "./capacity_policy.ts";
import { sharedQueueOf } from "./shared_queue.ts";
import type { RoutedRequest } from "./types.ts";

/** Records the first event of a stream that began with its current attempt. */
export function recordFirstEvent(state: State, request: RoutedRequest): void {
  if (!isShared(state.gateway!, request)) return;
  const elapsedMs = state.now - request.currentAttempt!.sentAt;
  const queue = sharedQueueOf(state, request);
  recordFirstEventTime(queue, request.route.name, elapsedMs);
}

/** Records the end of a complete response, which is the first event where it is no stream. */
export function recordServiceTimes(state: State, request: RoutedRequest): void {
  if (!isShared(state.gateway!, request)) return;
  const elapsedMs = state.now - request.currentAttempt!.sentAt;
  const queue = sharedQueueOf(state, request);
  recordHoldingTime(queue, elapsedMs);
  if (isStream(request.route)) return;
  recordFirstEventTime(queue, request.route.name, elapsedMs);
}
