/**
 * Shared setup of the policy scenarios: fleet size, load, measured window and baselines.
 *
 * @module
 */
import type { Rank } from "@primroseshed/core";
import {
  type BaselineKind,
  type BaselineSimulation,
  createBaseline,
} from "../fleet/baselines.ts";
import { type Capacity, measureCapacity } from "../fleet/capacity.ts";
import {
  createDocument,
  type DocumentOptions,
  OWNERS,
  principalOf,
  TEAMS,
} from "../fleet/document.ts";
import type { Engine } from "../fleet/engine.ts";
import {
  createFleetSimulation,
  type FleetSimulation,
  type FleetSimulationOptions,
} from "../fleet/fleet.ts";
import {
  drawRequests,
  type OfferedRequest,
  type RequestSource,
} from "../fleet/load.ts";
import { gapPercentile, type RunResults } from "../fleet/results.ts";

/** Number of groups in every scenario. */
export const GROUPS = 12;
/** Number of entries in every scenario. */
export const ENTRIES = 9;
/** Warm-up time at the start of a run, ms. */
export const WARM_UP_MS = 10_000;
/** Length of most runs, ms. */
export const RUN_MS = 40_000;
/** Requests offered within this time before the end of a run don't count for the figures, ms. */
export const EXCLUDED_TAIL_MS = 5_000;

/** Part of a run whose requests count for the figures. */
export const MEASURED_WINDOW = {
  fromMs: WARM_UP_MS,
  untilMs: RUN_MS - EXCLUDED_TAIL_MS,
};

const SEED = 20_261_204;
const capacities = new Map<number, Capacity>();

/** Returns the capacity of one group for requests over a number of shared prompts; measures each number once. */
export function capacityOf(sharedPrompts = 0): Capacity {
  const capacity = capacities.get(sharedPrompts) ??
    measureCapacity({ seed: SEED, sharedPrompts });
  capacities.set(sharedPrompts, capacity);
  return capacity;
}

/** Returns the capacity of the whole fleet in output tokens per second. */
export function fleetTokens(): number {
  return capacityOf().tokensPerSecond * GROUPS;
}

/** Load of each rank as a share of the fleet's capacity. */
export type LoadMix = Partial<Record<Rank, number>>;

/** Window, shared prompts and owners of a load mix. */
export interface LoadMixOptions {
  fromMs?: number;
  untilMs?: number;
  sharedPrompts?: number;
  owners?: readonly string[];
}

/** Spreads a load mix evenly over owners and teams. */
export function spreadLoad(
  mix: LoadMix,
  { owners = OWNERS, ...window }: LoadMixOptions = {},
): RequestSource[] {
  const total = capacityOf(window.sharedPrompts).requestsPerSecond * GROUPS;
  return owners.flatMap((owner) =>
    Array.from({ length: TEAMS }, (_, team) => team).flatMap((team) =>
      Object.entries(mix).map(([rank, share]) => ({
        principal: principalOf(owner, team),
        rank: rank as Rank,
        perSecond: share * total / owners.length / TEAMS,
        ...window,
      }))
    )
  );
}

/** All ranks at 80% of capacity. */
export const STEADY_MIX: LoadMix = { urgent: 0.25, standard: 0.3, batch: 0.25 };

/** An action on the engines at a given time of a run, such as a failure. */
export interface ScheduledAction {
  at: number;
  apply(engines: readonly Engine[]): void;
}

/** Options of {@link runPolicy}. */
export interface RunOptions
  extends Partial<Omit<FleetSimulationOptions, "document">> {
  untilMs?: number;
  scheduledActions?: readonly ScheduledAction[];
  config?: Partial<DocumentOptions>;
  /** Called with the simulation before it runs. */
  prepare?(fleet: FleetSimulation): void;
}

/** Draws the requests of a run. */
export function drawScenarioRequests(
  sources: readonly RequestSource[],
  untilMs = RUN_MS,
): OfferedRequest[] {
  return drawRequests(sources, { seed: SEED, entries: ENTRIES, untilMs });
}

function scheduleActions(
  fleet: Pick<FleetSimulation, "clock" | "engines">,
  scheduledActions: readonly ScheduledAction[],
): void {
  for (const { at, apply } of scheduledActions) {
    fleet.clock.at(at, () => apply(fleet.engines));
  }
}

/** Runs the policy over offered requests. */
export function runPolicy(
  requests: readonly OfferedRequest[],
  options: RunOptions = {},
): FleetSimulation {
  const {
    untilMs = RUN_MS,
    scheduledActions = [],
    config = {},
    prepare,
    ...rest
  } = options;
  const document = createDocument({ groups: GROUPS, ...config });
  const fleet = createFleetSimulation(requests, {
    seed: SEED,
    entries: ENTRIES,
    groups: GROUPS,
    ...rest,
    document,
  });
  scheduleActions(fleet, scheduledActions);
  prepare?.(fleet);
  fleet.run(untilMs);
  return fleet;
}

/** Names of the baselines. */
export const BASELINES: readonly BaselineKind[] = [
  "round_robin",
  "least_loaded",
];

/** Runs every baseline over the same offered requests. */
export function runBaselines(
  requests: readonly OfferedRequest[],
  { untilMs = RUN_MS, scheduledActions = [] }: Pick<
    RunOptions,
    "untilMs" | "scheduledActions"
  > = {},
): Record<BaselineKind, BaselineSimulation> {
  const runs = BASELINES.map((kind) => {
    const fleet = createBaseline(requests, {
      kind,
      groups: GROUPS,
      batch: capacityOf().batch,
    });
    scheduleActions(fleet, scheduledActions);
    fleet.run(untilMs);
    return [kind, fleet] as const;
  });
  return Object.fromEntries(runs) as Record<BaselineKind, BaselineSimulation>;
}

/** Computes one figure for each baseline. */
export function readBaselines(
  runs: Record<BaselineKind, BaselineSimulation>,
  read: (results: RunResults) => number,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(runs).map(([kind, { results }]) => [kind, read(results)]),
  );
}

/** Returns the higher of the 95th percentiles of the time between tokens of urgent and of standard work, ms. */
export function betweenTokensP95({ betweenTokens }: RunResults): number {
  return Math.max(
    gapPercentile(betweenTokens.urgent, 95),
    gapPercentile(betweenTokens.standard, 95),
  );
}
