/**
 * Counts the attempts and the prompts in prefill at a target.
 *
 * @module
 */
import { updateAttemptAverage } from "../capacity/load_estimate.ts";
import { refreshTarget } from "../capacity/targets.ts";
import type { State, Target } from "../state/types.ts";
import type { Request } from "./types.ts";

/** Counts a request's prompt at its target until its first token. */
export function beginPrefill(target: Target, request: Request): void {
  request.prefilling = true;
  target.prefilling += request.promptTokens;
}

/** Stops counting a request's prompt at its target. */
export function endPrefill(target: Target, request: Request): void {
  if (!request.prefilling) return;
  request.prefilling = false;
  target.prefilling -= request.promptTokens;
}

/** Removes a request's attempt from its target. */
export function releaseTarget(state: State, request: Request): void {
  const target = state.targets.get(request.target ?? "");
  request.target = undefined;
  if (target === undefined) return;
  endPrefill(target, request);
  updateAttemptAverage(target, state.now);
  target.attempts.delete(request.request);
  const pool = state.pools.get(target.deployment);
  pool?.runningBatch.delete(request.request);
  refreshTarget(state, target);
}
