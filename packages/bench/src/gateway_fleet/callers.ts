/**
 * Simulates callers: they send requests of different sizes, read streams, lose patience, and come back once.
 *
 * @module
 */
import { nextFloat, nextIndex, type Random } from "@primroseshed/core";
import type { Clock } from "../fleet/clock.ts";
import type { DaemonFleet, SimulatedDaemon } from "./daemon_fleet.ts";
import {
  type End,
  OUTPUT_TOKEN_WEIGHT,
  type RequestRecord,
} from "./results.ts";
import type { RequestKind, Scenario, TokenDistribution } from "./scenario.ts";

/** Host and key of all requests. */
export const HOST = "a.example";
export const KEY = "key-a";

/** Tries of a request: the first one and one more. */
const MAX_TRIES = 2;
/** Shortest pause before a second try, ms. */
const RETURN_MS = 10;
/** Part of the time left for which a caller heeds `Retry-After` at most. */
const MAX_RETURN_SHARE = 1 / 3;
/** One way between callers and daemons, ms. */
const CALLER_WAY_MS = 3;
/** Shortest silence after which a caller leaves, ms. */
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_PAUSES = 8;
/** Standard deviation of the logarithm of a caller's estimate of its output. */
const ESTIMATE_SIGMA = 0.5;
const MS_PER_SECOND = 1_000;

/** Draws a number of the standard normal distribution. */
function nextNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - nextFloat(random)));
  return radius * Math.cos(2 * Math.PI * nextFloat(random));
}

/**
 * Draws a number of tokens.
 *
 * @example
 * ```ts
 * drawTokens({ median: 100, sigma: 1, min: 1, max: 500 }, random); // 72
 * ```
 */
export function drawTokens(
  { median, sigma, min, max }: TokenDistribution,
  random: Random,
): number {
  const tokens = median * Math.exp(sigma * nextNormal(random));
  return Math.round(Math.min(max, Math.max(min, tokens)));
}

/** Starts the callers of a scenario; `onEnd` gets each request once it has ended for its caller. */
export function startCallers(
  clock: Clock,
  { scenario, fleet, random, onEnd }: {
    scenario: Scenario;
    fleet: DaemonFleet;
    random: Random;
    onEnd(record: RequestRecord): void;
  },
): void {
  const zones = scenario.daemonsByZone.length;
  const daemonsOf = scenario.daemonsByZone.map((_, zone) =>
    fleet.daemons.filter((daemon) => daemon.zone === zone)
  );
  const trafficEnd = scenario.leadMs + scenario.trafficMs;
  let requestCount = 0;

  /** Returns the traffic of a zone against its mean. */
  function waveOf(zone: number): number {
    const { trafficSwing, trafficPeriodMs } = scenario;
    const phase = clock.now / trafficPeriodMs + zone / zones;
    return 1 + trafficSwing * Math.sin(2 * Math.PI * phase);
  }

  function scheduleArrival(kind: RequestKind, zone: number): void {
    const meanMs = MS_PER_SECOND * zones / kind.perSecond;
    const largest = 1 + scenario.trafficSwing;
    clock.after(-Math.log(1 - nextFloat(random)) * meanMs / largest, () => {
      if (clock.now >= trafficEnd) return;
      // Arrivals are drawn at the highest rate and thinned out to the present one.
      if (nextFloat(random) * largest < waveOf(zone)) begin(kind, zone);
      scheduleArrival(kind, zone);
    });
  }

  function begin(kind: RequestKind, zone: number): void {
    requestCount += 1;
    const id = requestCount;
    const startedAt = clock.now;
    const deadlineAt = startedAt + kind.deadlineMs;
    const promptTokens = drawTokens(kind.promptTokens, random);
    const outputTokens = drawTokens(kind.outputTokens, random);
    const error = Math.exp(ESTIMATE_SIGMA * nextNormal(random));
    const expectedOutputTokens = Math.max(1, Math.round(outputTokens * error));
    const patienceMs = Math.max(
      MIN_PATIENCE_MS,
      PATIENCE_OBJECTIVES * kind.objectiveMs,
      PATIENCE_PAUSES * kind.maxPauseMs,
    );
    let tries = 0;
    let isOver = false;
    let lastEvent: number | undefined;
    let firstEventAt: number | undefined;
    let heardAt = 0;
    let isLate = false;

    function end(outcome: End): void {
      if (isOver) return;
      isOver = true;
      onEnd({
        kind: kind.name,
        zone,
        size: promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens,
        end: outcome,
        firstEventMs: firstEventAt && firstEventAt - startedAt,
      });
    }

    function retry(delayMs: number, outcome: End): void {
      const leftMs = deadlineAt - clock.now;
      if (tries >= MAX_TRIES || leftMs <= RETURN_MS) return end(outcome);
      const waitMs = Math.min(delayMs, leftMs * MAX_RETURN_SHARE);
      clock.after(Math.max(RETURN_MS, waitMs) + CALLER_WAY_MS, attempt);
    }

    function attempt(): void {
      tries += 1;
      const request = `q${id}.${tries}`;
      const daemon = drawDaemon(zone);
      heardAt = clock.now;
      fleet.connect(request, {
        work: { promptTokens, outputTokens },
        onEvent(event) {
          if (isOver) return;
          const pauseMs = clock.now - heardAt;
          heardAt = clock.now;
          if (firstEventAt === undefined) {
            firstEventAt = clock.now;
            isLate = firstEventAt - startedAt > kind.objectiveMs;
          } else if (pauseMs > kind.maxPauseMs) isLate = true;
          lastEvent = event;
        },
        onComplete: () => end(isLate ? "late" : "in_time"),
        onRefused({ isNotRun, retryAfterMs = 0 }) {
          if (isOver) return;
          if (isNotRun) retry(retryAfterMs, "refused");
          else retry(0, "failed");
        },
      });
      daemon.feed({
        kind: "routed_request_arrived",
        request,
        host: HOST,
        path: `/${kind.name}/1`,
        key: KEY,
        deadlineMs: deadlineAt - clock.now,
        model: kind.model,
        promptTokens,
        maxOutputTokens: kind.outputTokens.max,
        expectedOutputTokens,
        promptParts: [],
        lastEvent: lastEvent === undefined ? undefined : String(lastEvent),
      });
      watch(daemon, request, tries);
    }

    /** Leaves once nothing has arrived for too long, or at the deadline. */
    function watch(
      daemon: SimulatedDaemon,
      request: string,
      number: number,
    ): void {
      const leaveAt = Math.min(deadlineAt, heardAt + patienceMs);
      clock.at(leaveAt, () => {
        if (isOver || tries !== number) return;
        const isDue = clock.now >= Math.min(deadlineAt, heardAt + patienceMs);
        if (!isDue) return watch(daemon, request, number);
        fleet.disconnect(request);
        daemon.feed({ kind: "routed_request_closed", request });
        end(clock.now >= deadlineAt ? "deadline" : "silent");
      });
    }

    attempt();
  }

  function drawDaemon(zone: number): SimulatedDaemon {
    const list = daemonsOf[zone]!;
    return list[nextIndex(random, list.length)]!;
  }

  clock.at(scenario.leadMs, () => {
    for (const kind of scenario.kinds) {
      for (let zone = 0; zone < zones; zone += 1) scheduleArrival(kind, zone);
    }
  });
}
