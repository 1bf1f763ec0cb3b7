/**
 * Shared setup of the policy scenarios: fleet size, load, measured window and baselines.
 *
 * @module
 */
import type { Rank } from "@primroseshed/core";
import {
  type BaselineFleet,
  type BaselineKind,
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
import { createFleet, type Fleet, type FleetOptions } from "../fleet/fleet.ts";
import { drawOffers, type Offer, type Source } from "../fleet/load.ts";
import { gapPercentile, type Records } from "../fleet/record.ts";

/** Number of groups in every scenario. */
export const GROUPS = 12;
/** Number of entries in every scenario. */
export const ENTRIES = 9;
/** Warm-up time at the start of a run, ms. */
export const SETTLED_MS = 10_000;
/** Length of most runs, ms. */
export const RUN_MS = 40_000;
/** Requests offered within this time before the end of a run don't count for the figures, ms. */
export const TAIL_MS = 5_000;

/** Part of a run whose requests count for the figures. */
export const WINDOW = { fromMs: SETTLED_MS, untilMs: RUN_MS - TAIL_MS };

const SEED = 20_261_204;
const capacities = new Map<number, Capacity>();

/** Returns the capacity of one group for requests over a number of shared prompts; measures each number once. */
export function capacityOf(topics = 0): Capacity {
  const known = capacities.get(topics) ??
    measureCapacity({ seed: SEED, topics });
  capacities.set(topics, known);
  return known;
}

/** Returns the capacity of the whole fleet in output tokens per second. */
export function fleetTokens(): number {
  return capacityOf().tokensPerSecond * GROUPS;
}

/** Load of each rank as a share of the fleet's capacity. */
export type Mix = Partial<Record<Rank, number>>;

/** Window, shared prompts and owners of a load mix. */
export interface MixOptions {
  fromMs?: number;
  untilMs?: number;
  topics?: number;
  owners?: readonly string[];
}

/** Spreads a load mix evenly over owners and teams. */
export function spread(
  mix: Mix,
  { owners = OWNERS, ...window }: MixOptions = {},
): Source[] {
  const total = capacityOf(window.topics).requestsPerSecond * GROUPS;
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
export const STEADY_MIX: Mix = { urgent: 0.25, standard: 0.3, batch: 0.25 };

/** An action on the engines at a given time of a run, such as a failure. */
export interface Happening {
  at: number;
  act(engines: readonly Engine[]): void;
}

/** Options of {@link runPolicy}. */
export interface RunOptions extends Partial<Omit<FleetOptions, "document">> {
  untilMs?: number;
  happenings?: readonly Happening[];
  config?: Partial<DocumentOptions>;
  /** Called with the simulation before it runs. */
  prepare?(fleet: Fleet): void;
}

/** Draws the requests of a run. */
export function offersFor(
  sources: readonly Source[],
  untilMs = RUN_MS,
): Offer[] {
  return drawOffers(sources, { seed: SEED, entries: ENTRIES, untilMs });
}

function schedule(
  fleet: Pick<Fleet, "clock" | "engines">,
  happenings: readonly Happening[],
): void {
  for (const { at, act } of happenings) {
    fleet.clock.at(at, () => act(fleet.engines));
  }
}

/** Runs the policy over offered requests. */
export function runPolicy(
  offers: readonly Offer[],
  options: RunOptions = {},
): Fleet {
  const { untilMs = RUN_MS, happenings = [], config = {}, prepare, ...rest } =
    options;
  const document = createDocument({ groups: GROUPS, ...config });
  const fleet = createFleet(offers, {
    seed: SEED,
    entries: ENTRIES,
    groups: GROUPS,
    ...rest,
    document,
  });
  schedule(fleet, happenings);
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
  offers: readonly Offer[],
  { untilMs = RUN_MS, happenings = [] }: Pick<
    RunOptions,
    "untilMs" | "happenings"
  > = {},
): Record<BaselineKind, BaselineFleet> {
  const runs = BASELINES.map((kind) => {
    const fleet = createBaseline(offers, {
      kind,
      groups: GROUPS,
      batch: capacityOf().batch,
    });
    schedule(fleet, happenings);
    fleet.run(untilMs);
    return [kind, fleet] as const;
  });
  return Object.fromEntries(runs) as Record<BaselineKind, BaselineFleet>;
}

/** Computes one figure for each baseline. */
export function fromBaselines(
  runs: Record<BaselineKind, BaselineFleet>,
  read: (records: Records) => number,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(runs).map(([kind, { records }]) => [kind, read(records)]),
  );
}

/** Returns the higher of the 95th percentiles of the time between tokens of urgent and of standard work, ms. */
export function gapP95({ betweenTokens }: Records): number {
  return Math.max(
    gapPercentile(betweenTokens.urgent, 95),
    gapPercentile(betweenTokens.standard, 95),
  );
}
