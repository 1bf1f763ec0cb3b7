/**
 * Tells refused callers when to come back.
 *
 * @module
 */
import { retryDelayOf } from "../admission/retry_delay.ts";
import type { State } from "../state/types.ts";
import { RETRY_AFTER_MS } from "./constants.ts";
import { hasCandidates } from "./runner_index.ts";
import { backoffLeft, retryAfter } from "./runner_backoff.ts";
import { levelsOfService, urgencyStepOf } from "./service_levels.ts";
import { isShared } from "./capacity_policy.ts";
import {
  describeWaiter,
  expectedWaitOf,
  sharedQueueOf,
} from "./shared_queue.ts";
import type { RoutedRequest } from "./types.ts";

/** Returns the delay of a refused request whose service's capacity is shared, ms: when room for it is expected. */
function sharedRetryDelay(state: State, request: RoutedRequest): number {
  const gateway = state.gateway!;
  const levels = levelsOfService(gateway, request.service);
  return retryDelayOf({
    expectedMs: expectedRoomMs(state, request),
    remainingMs: request.expiresAt - state.now,
    urgencyStep: urgencyStepOf(levels, request.priority),
    random: state.random,
  });
}

/** Returns the time until room for a request is expected, ms; infinite where no runner serves it. */
function expectedRoomMs(state: State, request: RoutedRequest): number {
  // Nothing may be kept for a model that no runner serves, as callers choose the names.
  if (!hasCandidates(state.gateway!, request)) return Infinity;
  const waiter = sharedQueueOf(state, request).waiters.get(request.id) ??
    {
      ...describeWaiter(state, request),
      isReturned: false,
      isGone: true,
      expectedMs: undefined,
    };
  return expectedWaitOf(state, request, waiter).ms;
}

/** Returns when a refused caller should come back, ms: not before a runner may be asked, and not all callers at once. */
export function retryAfterOf(state: State, request: RoutedRequest): number {
  const isPaused = backoffLeft(state, request) !== undefined;
  return isPaused || !isShared(state.gateway!, request)
    ? retryAfter(state, request)
    : sharedRetryDelay(state, request);
}

/** Returns the delay of a request that is refused for want of capacity, ms; a fixed one where the capacity is not shared. */
export function capacityRetryAfter(
  state: State,
  request: RoutedRequest,
): number {
  return isShared(state.gateway!, request)
    ? retryAfterOf(state, request)
    : RETRY_AFTER_MS;
}
