/**
 * Metrics of a gateway.
 *
 * @module
 */
import {
  costOfOutput,
  type Effect,
  type LogEventName,
  type State,
} from "@primroseshed/core";
import {
  collectDefaultMetrics,
  Counter,
  Histogram,
  Registry,
} from "prom-client";
import type { LogFields } from "../observe/logger.ts";
import { createAdmissionCounters } from "./admission_metrics.ts";
import { createGauges } from "./gateway_gauges.ts";
import { createLoadMetrics } from "./load_metrics.ts";
import { createPacingMetrics } from "./pacing_metrics.ts";

type FirstEvent = Extract<Effect, { kind: "first_event" }>;

/** Metrics of one gateway. */
export interface GatewayMetrics {
  registry: Registry;
  /** Counts a decision by its log event. */
  count(event: LogEventName, fields: LogFields): void;
  /** Records the time from a request's arrival to its first event, and that from its send against the expected one. */
  observeFirstEvent(event: FirstEvent): void;
  /** Counts bytes that were handed to the connections of followers. */
  countFollowerBytes(kind: string, bytes: number): void;
}

const LATENCY_BUCKETS_S = [
  0.01,
  0.05,
  0.1,
  0.2,
  0.25,
  0.4,
  0.6,
  1,
  2,
  4,
  8,
];
const MS_PER_SECOND = 1_000;

/** Upper ends of the buckets of request sizes, output tokens. */
const SIZE_BUCKETS_TOKENS = [25, 50, 100, 200, 400, 800, 1_600, 3_200];

type EventCounters = Partial<
  Record<LogEventName, (fields: LogFields) => void>
>;

const label = (value: unknown) => String(value ?? "none");

/** Records the size of a request that has ended, unless it went to a plain service or no route was found for it. */
function observeSize(
  sizes: Histogram<"route" | "outcome">,
  fields: LogFields,
): void {
  const { route, promptTokens, verdict, code } = fields;
  if (route === undefined || promptTokens === undefined) return;
  const outputTokens = fields.expectedOutputTokens ?? fields.maxOutputTokens;
  const work = { promptTokens: Number(promptTokens) };
  const size = costOfOutput(work, Number(outputTokens));
  const outcome = verdict === "ran" ? "served" : label(code);
  sizes.observe({ route: label(route), outcome }, size);
}

/** Creates the metrics; gauges are read from the state when scraped. */
export function createGatewayMetrics(
  state: State,
  { now, droppedLines }: { now: () => number; droppedLines: () => number },
): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({ register: registry });
  const counter = <L extends string>(
    name: string,
    help: string,
    labelNames: L[] = [],
  ) => new Counter({ name, help, labelNames, registers });
  const histogram = <L extends string>(
    name: string,
    help: string,
    labelNames: L[],
  ) =>
    new Histogram({
      name,
      help,
      labelNames,
      buckets: LATENCY_BUCKETS_S,
      registers,
    });

  const events = counter(
    "primrose_events_total",
    "Log events by name",
    ["event"],
  );
  const refusals = counter(
    "primrose_refusals_total",
    "Requests refused on arrival, by code",
    ["code"],
  );
  const requests = counter(
    "primrose_gateway_requests_total",
    "Requests ended, by verdict and code",
    ["verdict", "code"],
  );
  const unframedAnswers = counter(
    "primrose_answers_ended_by_connection_total",
    "Answers that the end of their connection completed, since they had neither a length nor chunks",
  );
  const resets = counter(
    "primrose_reset_attempts_total",
    "Attempts whose connection was reset, by outcome",
    ["outcome"],
  );
  const failedAttempts = counter(
    "primrose_failed_tries_total",
    "Failed attempts, by outcome",
    ["outcome"],
  );
  const retries = counter(
    "primrose_retries_total",
    "Retries wanted after a failed attempt, by how they stand to the budget and by the outcome",
    ["charge", "outcome"],
  );
  const orders = counter(
    "primrose_orders_total",
    "Orders sent to runners, by action",
    ["action"],
  );
  const failedOrders = counter(
    "primrose_failed_orders_total",
    "Orders that failed or got no response, by outcome",
    ["outcome"],
  );
  const settledHedges = counter(
    "primrose_hedges_settled_total",
    "Hedged requests by whether the second copy won",
    ["outcome"],
  );
  const deniedHedges = counter(
    "primrose_hedges_denied_total",
    "Slow requests that were not hedged, by cause",
    ["cause"],
  );
  const followerBytes = counter(
    "primrose_follower_bytes_total",
    "Bytes sent to the daemons that follow this one, by kind of message",
    ["kind"],
  );
  const duration = histogram(
    "primrose_gateway_request_seconds",
    "Time from the arrival of a request to its end",
    ["verdict"],
  );
  const firstEvent = histogram(
    "primrose_gateway_first_event_seconds",
    "Time from the arrival of a request to the first event of its stream",
    ["priority"],
  );
  const requestTokens = new Histogram({
    name: "primrose_gateway_request_tokens",
    help:
      "Size of requests to models, in output tokens or their equivalent, by route and by how they ended",
    labelNames: ["route", "outcome"],
    buckets: SIZE_BUCKETS_TOKENS,
    registers,
  });
  createGauges(state, { registers, now, droppedLines });
  const loadMetrics = createLoadMetrics(state, { registers, now });
  createPacingMetrics(state, { registers });

  const counters: EventCounters = {
    ...createAdmissionCounters(state.gateway!, registers),
    request_refused: (fields) => {
      refusals.inc({ code: label(fields.code) });
      observeSize(requestTokens, fields);
    },
    request_ended: (fields) => {
      const { verdict, code, tookMs, endedBy } = fields;
      observeSize(requestTokens, fields);
      if (endedBy === "connection") unframedAnswers.inc();
      const labels = { verdict: label(verdict) };
      requests.inc({ ...labels, code: label(code) });
      duration.observe(labels, Number(tookMs) / MS_PER_SECOND);
    },
    attempt_failed: ({ outcome, charge, reset }) => {
      failedAttempts.inc({ outcome: label(outcome) });
      if (reset) resets.inc({ outcome: label(outcome) });
      if (charge === undefined) return;
      retries.inc({ charge: label(charge), outcome: label(outcome) });
    },
    hedge_settled: ({ outcome }) =>
      settledHedges.inc({ outcome: label(outcome) }),
    hedge_denied: ({ cause }) => deniedHedges.inc({ cause: label(cause) }),
    order_sent: ({ action }) => orders.inc({ action: label(action) }),
    order_failed: ({ outcome }) =>
      failedOrders.inc({ outcome: label(outcome) }),
  };

  return {
    registry,
    count(event, fields) {
      events.inc({ event });
      counters[event]?.(fields);
    },
    countFollowerBytes: (kind, bytes) => followerBytes.inc({ kind }, bytes),
    observeFirstEvent({ priority, ms, attemptTimes }) {
      firstEvent.observe({ priority }, ms / MS_PER_SECOND);
      loadMetrics.observe(attemptTimes);
    },
  };
}
