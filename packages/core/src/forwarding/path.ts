/**
 * Decides whether a request goes to a runner directly or through another daemon.
 *
 * @module
 */
import { isCold } from "../cold_start/mod.ts";
import type { RoutedRequest, RunnerStats } from "../gateway/types.ts";
import { isPathLost } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import { FORWARD_AFTER_FAILED_CONNECTS } from "./constants.ts";
import { hasForwarder } from "./forwarders.ts";

/** Way of a request to its runner. */
export type Path = "direct" | "forwarded";

/** Returns the ways that a request may take now, the preferred one first. */
export function pathsOf(
  state: State,
  request: RoutedRequest,
): readonly Path[] {
  const isHopeless = isDirectHopeless(state, request);
  const isDirectOnly = !isHopeless &&
    state.gateway!.unreachableRunners.size === 0;
  if (isDirectOnly || !hasForwarder(state, request)) return ["direct"];
  return isHopeless ? ["forwarded"] : ["direct", "forwarded"];
}

function isDirectHopeless(state: State, request: RoutedRequest): boolean {
  return isPathLost(state.gateway!, request.service) ||
    request.failedConnects >= FORWARD_AFTER_FAILED_CONNECTS;
}

/** Returns whether a request may be sent to a runner through another daemon; `stats` are the runner's. */
export function canForward(
  state: State,
  request: RoutedRequest,
  stats: RunnerStats,
): boolean {
  const { runner } = stats;
  const hasArrived = request.triedRunners.has(runner) &&
    !request.unreachedRunners.has(runner);
  if (hasArrived || stats.avoidForwardedUntil > state.now) return false;
  // The forwarder would take it only as one of the runner's owners.
  if (isCold(state, { id: runner, service: request.service })) return false;
  return state.gateway!.unreachableRunners.has(runner) ||
    isDirectHopeless(state, request);
}
