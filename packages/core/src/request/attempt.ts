/**
 * Accounts of an attempt at a target.
 *
 * @module
 */
import { rememberAttempts } from "../capacity/load_estimate.ts";
import { refreshTarget } from "../capacity/targets.ts";
import type { State } from "../state/types.ts";
import type { Request } from "./types.ts";

/** Takes a request's attempt off its target. */
export function releaseTarget(state: State, request: Request): void {
  const target = state.targets.get(request.target ?? "");
  request.target = undefined;
  if (target === undefined) return;
  rememberAttempts(target, state.now);
  target.attempts.delete(request.request);
  const pool = state.pools.get(target.deployment);
  pool?.runningBatch.delete(request.request);
  refreshTarget(state, target);
}
