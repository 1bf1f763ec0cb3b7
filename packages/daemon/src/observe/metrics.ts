/**
 * Metrics of a daemon.
 *
 * @module
 */
import { type MetricSample, RANKS, type State } from "@primroseshed/core";
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import { createGaugeAdder } from "./gauges.ts";

/** Metrics of one daemon. */
export interface Metrics {
  registry: Registry;
  observe(sample: MetricSample): void;
}

const FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.73, 1, 2, 5, 10];
const BETWEEN_TOKENS_BUCKETS_S = [
  0.005,
  0.01,
  0.015,
  0.02,
  0.025,
  0.029,
  0.035,
  0.05,
  0.1,
  0.5,
];
const QUEUE_WAIT_BUCKETS_S = [0.001, 0.01, 0.05, 0.1, 0.2, 0.4, 1, 5, 30, 120];
const MS_PER_SECOND = 1_000;

type SampleHandlers = {
  [K in MetricSample["kind"]]: (
    sample: Extract<MetricSample, { kind: K }>,
  ) => void;
};

/** Creates the metrics; gauges are read from the state when scraped. */
export function createMetrics(state: State): Metrics {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({ register: registry });
  const requests = new Counter({
    name: "primrose_requests_total",
    help: "Requests ended, by owner, rank, verdict and code",
    labelNames: ["owner", "rank", "verdict", "code"],
    registers,
  });
  const firstToken = new Histogram({
    name: "primrose_first_token_seconds",
    help: "Time from arrival to the first token",
    labelNames: ["owner", "rank"],
    buckets: FIRST_TOKEN_BUCKETS_S,
    registers,
  });
  const betweenTokens = new Histogram({
    name: "primrose_between_tokens_seconds",
    help: "Time between tokens of a stream",
    labelNames: ["owner", "rank"],
    buckets: BETWEEN_TOKENS_BUCKETS_S,
    registers,
  });
  const queueWait = new Histogram({
    name: "primrose_queue_wait_seconds",
    help: "Time from arrival to the first attempt",
    labelNames: ["rank"],
    buckets: QUEUE_WAIT_BUCKETS_S,
    registers,
  });
  createGauges(state, registers);
  const handlers: SampleHandlers = {
    ended: ({ owner, rank, verdict, code }) =>
      requests.inc({ owner, rank, verdict, code }),
    first_token: ({ owner, rank, ms }) =>
      firstToken.observe({ owner, rank }, ms / MS_PER_SECOND),
    between_tokens: ({ owner, rank, ms }) =>
      betweenTokens.observe({ owner, rank }, ms / MS_PER_SECOND),
    queue_wait: ({ rank, ms }) =>
      queueWait.observe({ rank }, ms / MS_PER_SECOND),
  };
  return {
    registry,
    observe(sample) {
      (handlers[sample.kind] as (sample: MetricSample) => void)(sample);
    },
  };
}

function createGauges(state: State, registers: Registry[]): void {
  new Gauge({
    name: "primrose_queue_depth",
    help: "Waiting requests by deployment and rank",
    labelNames: ["deployment", "rank"],
    registers,
    collect() {
      this.reset();
      for (const pool of state.pools.values()) {
        for (const rank of RANKS) {
          this.set({ deployment: pool.name, rank }, pool.queues[rank].backlog);
        }
      }
    },
  });
  new Gauge({
    name: "primrose_targets",
    help: "Replica groups and backend servers by deployment and phase",
    labelNames: ["deployment", "phase"],
    registers,
    collect() {
      this.reset();
      for (const { deployment, phase } of state.targets.values()) {
        this.inc({ deployment, phase });
      }
    },
  });
  const addGauge = createGaugeAdder(registers);
  addGauge(
    "primrose_requests_in_flight",
    "Requests known to this daemon",
    () => state.requests.size,
  );
  addGauge(
    "primrose_ready",
    "1 while this daemon accepts requests",
    () => state.ready ? 1 : 0,
  );
  addGauge(
    "primrose_config_offset",
    "Log offset of the configuration in force",
    () => state.config?.offset ?? -1,
  );
  addGauge(
    "primrose_fold_next",
    "Offset of the next log record to fold",
    () => state.fold.next,
  );
  addGauge(
    "primrose_log_reachable",
    "1 while the log service responds",
    () => state.log.reachable ? 1 : 0,
  );
  addGauge(
    "primrose_appends_pending",
    "Appended records that were not yet read back from the log",
    () => state.log.pending.size,
  );
  addGauge(
    "primrose_evacuated_zones",
    "Availability zones whose engines and backend servers get no requests, by the configuration",
    () => state.config?.config.policy.evacuatedZones.length ?? 0,
  );
  addGauge("primrose_peers", "Peers known", () => state.peers.size);
}
