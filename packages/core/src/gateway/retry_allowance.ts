/**
 * Finds the retry budget of a service and this daemon's part of the budget that all daemons share.
 *
 * @module
 */
import { MIN_RETRY_DAEMONS } from "./constants.ts";
import {
  createRetryBudget,
  type RetryBudget,
  type RetryLimits,
} from "./retry_budget.ts";
import type { Gateway } from "./types.ts";

/** Returns the retry budget of a service. */
export function retryBudgetOf(gateway: Gateway, service: string): RetryBudget {
  let budget = gateway.retryBudgets.get(service);
  if (budget === undefined) {
    budget = createRetryBudget();
    gateway.retryBudgets.set(service, budget);
  }
  return budget;
}

/** Returns this daemon's share of the common retry budget. */
export function retryLimitsOf({ settings, workShare }: Gateway): RetryLimits {
  return {
    windowMs: settings.retryWindowMs,
    ratio: settings.retryRatio,
    slack: settings.retrySlack *
      Math.min(workShare.value, 1 / MIN_RETRY_DAEMONS),
  };
}
