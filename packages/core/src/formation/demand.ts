/**
 * Measures how much work each model has, from what the heads of its groups report.
 *
 * Answers the load of a fleet whose planner sees only a small part of the callers itself: status checks reach every group,
 * so their reports show the work of all daemons. Work counts in requests that a model's groups have, running and queued;
 * as many a group for each model leaves none shorter than another.
 *
 * @module
 */
import { addSample, createAverage } from "../util/ewma.ts";
import { DEMAND_WEIGHT } from "./constants.ts";
import type { Formation } from "./types.ts";
import type { GroupView } from "./view.ts";

/** Requests that a group has, as its head last reported them. */
function requestsOf(formation: Formation, { members }: GroupView): number {
  const [head] = members;
  if (head?.membership?.state !== "open") return 0;
  const report = formation.probes.get(head.id)?.report;
  return report === undefined ? 0 : report.running + report.queued;
}

/** Takes the present work of each model into its mean; groups that are not open have none. */
export function measureDemand(
  formation: Formation,
  views: readonly GroupView[],
): void {
  const requests = new Map<string, number>();
  for (const view of views) {
    const known = requests.get(view.model.name) ?? 0;
    requests.set(view.model.name, known + requestsOf(formation, view));
  }
  for (const [model, count] of requests) {
    const mean = formation.demand.get(model) ?? createAverage(0);
    addSample(mean, count, { weight: DEMAND_WEIGHT });
    formation.demand.set(model, mean);
  }
}

/** Returns the mean work of a model; undefined before there was any. */
export function demandOf(
  { demand }: Formation,
  model: string,
): number | undefined {
  const mean = demand.get(model)?.value;
  return mean === undefined || mean < 1 ? undefined : mean;
}
