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
import { DEMAND_SETTLING_MS, DEMAND_WEIGHT, FULL_USE } from "./constants.ts";
import type { GroupView } from "./group_view.ts";
import type { GroupPlanner } from "./types.ts";

/** Options of {@link measureDemand}. */
export interface MeasureOptions {
  /** Requests that one group runs at once. */
  slots: number;
  now: number;
}

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

/**
 * Adds the present requests of each model to its mean demand; groups that are not open have none.
 *
 * Groups that are full show no more than their slots, however many requests are refused, and a model without an open
 * group shows none; their demand is at least what it was.
 */
export function measureDemand(
  groupPlanner: GroupPlanner,
  views: readonly GroupView[],
  { slots, now }: MeasureOptions,
): void {
  const work = new Map<string, { requests: number; slots: number }>();
  for (const view of views) {
    const key = tupleKey(view.service, view.model.name);
    const known = work.get(key) ?? { requests: 0, slots: 0 };
    const isOpen = view.members[0]?.membership?.state === "open";
    work.set(key, {
      requests: known.requests + countRequests(groupPlanner, view),
      slots: known.slots + (isOpen ? slots : 0),
    });
  }
  for (const [key, { requests, slots: room }] of work) {
    const mean = groupPlanner.demand.get(key) ?? createAverage(0);
    const isFull = requests >= room * FULL_USE;
    const sample = isFull ? Math.max(requests, mean.value) : requests;
    addSample(mean, sample, { weight: DEMAND_WEIGHT });
    groupPlanner.demand.set(key, mean);
    if (mean.value < 1) groupPlanner.demandSince.delete(key);
    else if (!groupPlanner.demandSince.has(key)) {
      groupPlanner.demandSince.set(key, now);
    }
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

/** Returns whether the mean demand for a model has had time to settle, or has been known for some time. */
export function isSettled(
  { demandSince }: GroupPlanner,
  { service, model, now, forMs = DEMAND_SETTLING_MS }: {
    service: string;
    model: string;
    now: number;
    forMs?: number;
  },
): boolean {
  const since = demandSince.get(tupleKey(service, model));
  return since !== undefined && now - since >= forMs;
}
