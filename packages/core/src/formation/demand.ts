/**
 * Measures the demand for each model from the reports of its groups' heads.
 *
 * The daemon that plans receives only a small part of the callers' requests itself, but its health checks reach every
 * group, and their reports show the work of all daemons. Demand is the number of requests, running and queued, that a
 * model's groups have; no model is short of capacity next to another when all have as many requests per group.
 *
 * @module
 */
import { addSample, createAverage } from "../util/ewma.ts";
import { tupleKey } from "../util/tuple_key.ts";
import { DEMAND_WEIGHT } from "./constants.ts";
import type { GroupView } from "./group_view.ts";
import type { GroupPlanner } from "./types.ts";

/** Returns the number of requests of a group, as its head last reported it. */
function countRequests(
  groupPlanner: GroupPlanner,
  { members }: GroupView,
): number {
  const [head] = members;
  if (head?.membership?.state !== "open") return 0;
  const report = groupPlanner.healthChecks.get(head.id)?.report;
  return report === undefined ? 0 : report.running + report.queued;
}

/** Adds the present requests of each model to its mean demand; groups that are not open have none. */
export function measureDemand(
  groupPlanner: GroupPlanner,
  views: readonly GroupView[],
): void {
  const requests = new Map<string, number>();
  for (const view of views) {
    const key = tupleKey(view.service, view.model.name);
    const known = requests.get(key) ?? 0;
    requests.set(key, known + countRequests(groupPlanner, view));
  }
  for (const [key, count] of requests) {
    const mean = groupPlanner.demand.get(key) ?? createAverage(0);
    addSample(mean, count, { weight: DEMAND_WEIGHT });
    groupPlanner.demand.set(key, mean);
  }
}

/** Returns the mean demand for a model of a service; undefined before it had any requests. */
export function demandOf(
  { demand }: GroupPlanner,
  { service, model }: { service: string; model: string },
): number | undefined {
  const mean = demand.get(tupleKey(service, model))?.value;
  return mean === undefined || mean < 1 ? undefined : mean;
}
