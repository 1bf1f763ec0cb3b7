/**
 * Finds the retry budget of a service and this daemon's part of the slack that all daemons share.
 *
 * @module
 */
import type { FleetSize } from "../read_sharing/types.ts";
import {
  KEPT_SLACK_SHARE,
  MIN_RETRY_DAEMONS,
  USED_SLACK_SHARE,
} from "./constants.ts";
import {
  createRetryBudget,
  type RetryBudget,
  type RetryLimits,
  takeRetry,
} from "./retry_budget.ts";
import type { State } from "../state/types.ts";
import type { Gateway, RoutedRequest } from "./types.ts";

/** Returns the retry budget of a service. */
export function retryBudgetOf(gateway: Gateway, service: string): RetryBudget {
  let budget = gateway.retryBudgets.get(service);
  if (budget === undefined) {
    budget = createRetryBudget(gateway.readSharing.startedAt);
    gateway.retryBudgets.set(service, budget);
  }
  return budget;
}

/**
 * Returns this daemon's part of the slack: an equal one for each daemon, since the sum of estimates has no bound. Where
 * there are more daemons than retries, the first ones get one each.
 */
function slackPart(slack: number, { count, position }: FleetSize): number {
  if (count <= slack) return slack / count;
  return position < Math.floor(slack) ? 1 : 0;
}

/** Returns this daemon's limits of the common retry budget. */
export function retryLimitsOf(
  { settings, readSharing: { self, fleetSize } }: Gateway,
): RetryLimits {
  const slack = settings.retrySlack * USED_SLACK_SHARE;
  // A daemon that shares no reads knows no other; one that does keeps no slack until it knows them.
  const alone = self === undefined
    ? { count: MIN_RETRY_DAEMONS, position: 0 }
    : undefined;
  const size = fleetSize ?? alone;
  const part = size === undefined ? 0 : slackPart(slack, size);
  const capacity = Math.max(part * KEPT_SLACK_SHARE, Math.min(1, part));
  return {
    ratio: settings.retryRatio,
    capacity,
    perMs: (part - capacity) / settings.retryWindowMs,
  };
}

/** Takes a retry for a request from the budget of its service; returns false where none is left. */
export function takeRetryFor(
  { gateway, now }: State,
  { service }: Pick<RoutedRequest, "service">,
): boolean {
  const budget = retryBudgetOf(gateway!, service);
  return takeRetry(budget, now, retryLimitsOf(gateway!));
}

/** Returns whether a stream that broke off waits for a retry of a service. */
export function owesRetry(
  { requests, waitingRequests }: Gateway,
  service: string,
): boolean {
  if (waitingRequests.size === 0) return false;
  for (const request of requests.values()) {
    if (request.awaitsRetry && request.service === service) return true;
  }
  return false;
}
