/**
 * Tells whether the time that is left of a request can be enough for it at any runner.
 *
 * What a request needs grows with its size: its prompt is read and its output written token by token. One that cannot
 * end in time would hold a slot for seconds, slow the others of its batch, and be cut off at its deadline.
 *
 * @module
 */
import type { State } from "../state/types.ts";
import { MIN_REMAINING_MS, SURE_OUTPUT_SHARE } from "./constants.ts";
import { paceOf, readingMsOf } from "./engine_pace.ts";
import type { Refusal } from "./lookup.ts";
import type { Gateway, RoutedRequest } from "./types.ts";

/** Refusal of a request that cannot end in the time that is left. */
export const TOO_LATE: Refusal = {
  code: "deadline_passed",
  message: "The time left is too short for the request at any runner",
};

type SizedRequest = Pick<
  RoutedRequest,
  | "service"
  | "model"
  | "promptTokens"
  | "maxOutputTokens"
  | "expectedOutputTokens"
  | "lastEvent"
>;

/**
 * Returns the shortest time in which a runner may end a request, ms: alone in its batch, with as much of the expected
 * output as is nearly sure; 0 where the speed of the engines is not known.
 *
 * @example
 * ```ts
 * // A prompt that is read in 30 ms, and half of 400 tokens at 6 ms.
 * leastServiceMs(gateway, request); // 1,230
 * ```
 */
export function leastServiceMs(
  gateway: Gateway,
  request: SizedRequest,
): number {
  const engine = gateway.routing?.services.get(request.service)?.engine;
  if (engine?.speed === undefined) return 0;
  const { stepMs, stepMsPerRequest } = engine.speed;
  const tokenMs = (stepMs + stepMsPerRequest) * paceOf(gateway, request);
  return readingMsOf(gateway, request) + sureOutputOf(request) * tokenMs;
}

/** Returns the output tokens that a request nearly surely needs. */
function sureOutputOf(
  { maxOutputTokens, expectedOutputTokens, lastEvent }: SizedRequest,
): number {
  // Its caller has a part of the output already.
  const isResumed = lastEvent !== undefined;
  if (isResumed || expectedOutputTokens === undefined) return 1;
  const expected = Math.min(expectedOutputTokens, maxOutputTokens);
  return Math.max(1, expected * SURE_OUTPUT_SHARE);
}

/** Returns the time until which a request may be sent so that it can end before its caller gives up, ms. */
export function latestStartOf(
  { gateway }: State,
  request: SizedRequest & Pick<RoutedRequest, "expiresAt">,
): number {
  const neededMs = leastServiceMs(gateway!, request);
  return request.expiresAt - Math.max(MIN_REMAINING_MS, neededMs);
}

/** Returns whether a request that is sent now can end before its caller gives up. */
export function hasTime(
  state: State,
  request: SizedRequest & Pick<RoutedRequest, "expiresAt">,
): boolean {
  return state.now <= latestStartOf(state, request);
}
