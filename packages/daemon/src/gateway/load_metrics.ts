/**
 * Metrics of shared load reports and of the expected time to the first event.
 *
 * @module
 */
import {
  type FirstEventTimes,
  reportAgeMs,
  slowRunnerCount,
  type State,
} from "@primroseshed/core";
import { Histogram, type Registry } from "prom-client";
import { createGaugeAdder } from "../observe/gauges.ts";

/** Metrics of load sharing. */
export interface LoadMetrics {
  /** Records the expected and the observed time of an attempt; undefined where none was expected. */
  observe(times: FirstEventTimes | undefined): void;
}

const MS_PER_SECOND = 1_000;
const BUCKETS_S = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 2];

/** Creates the metrics; gauges are read from the state when scraped. */
export function createLoadMetrics(
  state: State,
  { registers, now }: { registers: Registry[]; now: () => number },
): LoadMetrics {
  const gateway = state.gateway!;
  const addGauge = createGaugeAdder(registers);
  addGauge(
    "primrose_load_report_age_seconds",
    "Mean age of the newest load report of each runner whose load is shared; -1 where there is none",
    () => {
      const age = reportAgeMs(gateway, now());
      return age === undefined ? -1 : age / MS_PER_SECOND;
    },
  );
  addGauge(
    "primrose_slow_runners",
    "Runners that get less work since they are slower than expected",
    () => slowRunnerCount(gateway, now()),
  );
  const times = new Histogram({
    name: "primrose_first_event_from_send_seconds",
    help:
      "Time from the send of a request to its first event where load is shared, expected and observed",
    labelNames: ["time"],
    buckets: BUCKETS_S,
    registers,
  });
  return {
    observe(attemptTimes) {
      if (attemptTimes === undefined) return;
      const { expectedMs, observedMs } = attemptTimes;
      times.observe({ time: "expected" }, expectedMs / MS_PER_SECOND);
      times.observe({ time: "observed" }, observedMs / MS_PER_SECOND);
    },
  };
}
