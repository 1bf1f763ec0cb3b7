/**
 * Wires a simulation of a whole deployment: real cores of all daemons, engines that batch and queue, groups that form,
 * load weights and lose members, and callers with deadlines of their own.
 *
 * @module
 */
import {
  createRandom,
  type Effect,
  type RoutingDocument,
} from "@primroseshed/core";
import { createClock } from "../fleet/clock.ts";
import { HOST, KEY, startCallers } from "./callers.ts";
import { createDaemonFleet } from "./daemon_fleet.ts";
import type { RequestRecord } from "./results.ts";
import { createRunnerPool, SERVICE } from "./runner_pool.ts";
import type { Scenario } from "./scenario.ts";

/** Options of {@link simulate}. */
export interface SimulationOptions {
  seed: number;
  /** True where the daemons share load reports and capacity. */
  isCapacityShared?: boolean;
  /** Called with each log line of a daemon, at its time in ms. */
  onLog?: (line: SimulatedLogLine) => void;
}

/** A log line of a simulated daemon. */
export interface SimulatedLogLine {
  at: number;
  node: string;
  event: Extract<Effect, { kind: "log" }>["event"];
  fields: Extract<Effect, { kind: "log" }>["fields"];
}

/** Groups of a model that serve at one time. */
export interface OpenGroups {
  /** Time since the first request, ms. */
  atMs: number;
  byModel: Record<string, number>;
  /** Requests at each open group, running and waiting, by model. */
  loads: Record<string, number[]>;
}

/** Result of {@link simulate}. */
export interface SimulationResult {
  records: RequestRecord[];
  openGroups: OpenGroups[];
  /** Orders that no runner must get. */
  violations: string[];
  /** Weight loads that began during the traffic. */
  weightLoads: number;
}

const SAMPLE_INTERVAL_MS = 500;
/** Time after the last arrival in which requests may still end, ms. */
const TAIL_MS = 9_000;

/** Returns the routing configuration of a scenario: a streaming route for each kind of request. */
function createDocument({ kinds, engine }: Scenario): RoutingDocument {
  return {
    version: 1,
    routes: kinds.map(({ name, objectiveMs, deadlineMs }) => ({
      name,
      host: HOST,
      prefix: `/${name}/`,
      kind: "resumable_stream",
      timeoutMs: deadlineMs,
      targetLatencyMs: objectiveMs,
      priority: 1,
      backends: [{ service: SERVICE, weight: 1 }],
      maxAttempts: 2,
      isPublic: false,
    })),
    services: [{ name: SERVICE, engine }],
    teams: [{ name: "team-a", keys: [KEY], priority: undefined }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/**
 * Plays a scenario with a seed in virtual time.
 *
 * @example
 * ```ts
 * const { records } = simulate(COMPETING_STREAMS, { seed: 1 });
 * countBySize(records)[0]?.servedShare; // 0.7
 * ```
 */
export function simulate(
  scenario: Scenario,
  { seed, isCapacityShared = false, onLog }: SimulationOptions,
): SimulationResult {
  const clock = createClock();
  const random = createRandom(seed);
  const document = createDocument(scenario);
  const pool = createRunnerPool(clock, scenario, { seed: seed + 1 });
  const fleet = createDaemonFleet(clock, {
    scenario,
    document,
    pool,
    seed,
    settings: { isCapacityShared },
  });
  if (onLog !== undefined) {
    fleet.onLog = ({ entry: { node } }, line) =>
      onLog({ at: clock.now, node, ...line });
  }
  const records: RequestRecord[] = [];
  startCallers(clock, {
    scenario,
    fleet,
    random,
    onEnd: (record) => records.push(record),
  });
  for (const fault of scenario.faults) {
    pool.scheduleFault(fault, scenario.leadMs);
    if (fault.kind !== "change_planner") continue;
    clock.at(scenario.leadMs + fault.atMs, () => fleet.changePlanner());
  }
  const openGroups: OpenGroups[] = [];
  const models = scenario.engine.models.map(({ name }) => name);
  const sample = () => {
    const sampled: OpenGroups = {
      atMs: clock.now - scenario.leadMs,
      byModel: {},
      loads: {},
    };
    for (const model of models) {
      const heads = pool.openHeads(model);
      sampled.byModel[model] = heads.length;
      sampled.loads[model] = heads.map(({ engine }) => {
        const { running, waiting } = engine!.load();
        return running + waiting;
      });
    }
    openGroups.push(sampled);
    clock.after(SAMPLE_INTERVAL_MS, sample);
  };
  clock.at(scenario.leadMs, sample);
  clock.runUntil(scenario.leadMs + scenario.trafficMs + TAIL_MS);
  return {
    records,
    openGroups,
    violations: pool.violations,
    weightLoads: pool.loadCount,
  };
}
