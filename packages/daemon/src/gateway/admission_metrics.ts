/**
 * Metrics of requests that wait for a free slot, and of refusals for want of one.
 *
 * @module
 */
import type { Gateway, LogEventName } from "@primroseshed/core";
import { Counter, Gauge, Histogram, type Registry } from "prom-client";
import type { LogFields } from "../observe/logger.ts";

const WAIT_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];
const MS_PER_SECOND = 1_000;

/** Counts decisions of admission by their log events. */
export type AdmissionCounters = Partial<
  Record<LogEventName, (fields: LogFields) => void>
>;

/** Adds a gauge of the waiting requests of each route, read when it is scraped. */
function addWaitingGauge(gateway: Gateway, registers: Registry[]): void {
  new Gauge({
    name: "primrose_waiting_requests",
    help: "Requests that wait for a free slot, by route",
    labelNames: ["route"],
    registers,
    collect() {
      this.reset();
      for (const { isWaiting, route } of gateway.requests.values()) {
        if (isWaiting) this.inc({ route: route.name });
      }
    },
  });
}

/**
 * Creates the metrics of admission and returns what counts its log events.
 *
 * @example
 * ```ts
 * createAdmissionCounters(gateway, [registry]).capacity_refused?.({ cause: "waited_out" });
 * ```
 */
export function createAdmissionCounters(
  gateway: Gateway,
  registers: Registry[],
): AdmissionCounters {
  addWaitingGauge(gateway, registers);
  const refusals = new Counter({
    name: "primrose_capacity_refusals_total",
    help: "Requests refused for want of a free slot, by cause",
    labelNames: ["cause"],
    registers,
  });
  const minimumStarts = new Counter({
    name: "primrose_minimum_share_starts_total",
    help: "Requests started on the minimum share of their priority",
    labelNames: ["priority"],
    registers,
  });
  const returned = new Counter({
    name: "primrose_returned_requests_total",
    help: "Requests that a runner turned away and that were queued again",
    registers,
  });
  const outdated = new Counter({
    name: "primrose_zone_counts_outdated_total",
    help: "Times at which the counts of the zone went out of date",
    registers,
  });
  const expectedWait = new Histogram({
    name: "primrose_expected_wait_seconds",
    help: "Expected wait of requests that found no free slot, by decision",
    labelNames: ["decision"],
    buckets: WAIT_BUCKETS_S,
    registers,
  });
  const observeWait = (decision: string, { expectedMs }: LogFields) => {
    if (expectedMs === undefined) return;
    expectedWait.observe({ decision }, Number(expectedMs) / MS_PER_SECOND);
  };
  return {
    request_waits: (fields) => observeWait("wait", fields),
    capacity_refused(fields) {
      refusals.inc({ cause: String(fields.cause) });
      observeWait("refuse", fields);
    },
    minimum_share_used: ({ priority }) =>
      minimumStarts.inc({ priority: String(priority) }),
    request_returned: () => returned.inc(),
    zone_counts_outdated: () => outdated.inc(),
  };
}
