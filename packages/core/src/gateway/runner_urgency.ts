/**
 * Computes the urgency that is sent to a runner with a request.
 *
 * @module
 */
import { slackOf, urgencyOf } from "../admission/urgency.ts";
import type { State } from "../state/types.ts";
import { MAX_URGENCY } from "./constants.ts";
import { paceOf } from "./engine_pace.ts";
import { levelsOfService } from "./service_levels.ts";
import { isShared } from "./capacity_policy.ts";
import type { RoutedRequest } from "./types.ts";

/** Most urgent value that an engine accepts. */
const MOST_URGENT = 0;

/**
 * Returns the urgency of a request at its runner, 0 to 9: its priority, refined by its slack where capacity is shared. A
 * stream that goes on after an interruption comes first.
 */
export function urgencyAtRunner(
  { gateway, now }: State,
  request: RoutedRequest,
): number {
  // Its caller has a part of the response, and leaves after a silence that has already begun.
  if (request.lastEvent !== undefined) return MOST_URGENT;
  const { service, priority, promptTokens, arrivedAt, route } = request;
  if (!isShared(gateway!, request)) return Math.min(MAX_URGENCY, priority);
  const { speed } = gateway!.routing?.services.get(service)?.engine ?? {};
  const { priorities, maxObjectiveMs } = levelsOfService(gateway!, service);
  const slackMs = slackOf({
    objectiveMs: route.targetLatencyMs,
    waitedMs: now - arrivedAt,
    promptTokens,
    prefillTokensPerSecond: speed?.prefillTokensPerSecond,
    pace: paceOf(gateway!, request),
  });
  return urgencyOf({ priorities, priority, slackMs, maxObjectiveMs });
}
