/**
 * Deployments to simulate: a large and a small model that streams of equal priority compete for, and faults by seed.
 *
 * @module
 */
import { createRandom, nextFloat, nextIndex } from "@primroseshed/core";
import type { Fault, RequestKind, Scenario } from "./scenario.ts";

const MS_PER_SECOND = 1_000;

/**
 * A pool of 222 runners before 119 daemons. Long answers and long prompts go to groups of 16, short prompts to groups of
 * four; a group of 16 is lost with any of its members.
 */
export const COMPETING_STREAMS: Scenario = {
  name: "competing_streams",
  daemonsByZone: [42, 40, 37],
  domainsByZone: [2, 2, 2],
  runnersPerDomain: 37,
  queueLength: 42,
  engine: {
    slots: 21,
    kvTokens: 1_113_000,
    models: [
      { name: "large", size: 16, share: 0.5, pace: 1, loadMs: 16_000 },
      { name: "small", size: 4, share: 0.5, pace: 0.6, loadMs: 12_000 },
    ],
    loadsPerSecond: 18,
    loadsAtOnce: 27,
    speed: {
      stepMs: 5.95,
      stepMsPerRequest: 0.0445,
      stepMsPerContextKiloToken: 0.00813,
      stepsPerPass: 7,
      prefillTokensPerSecond: 50_700,
      prefillChunkTokens: 2_048,
      usual: { promptTokens: 800, outputTokens: 210 },
    },
  },
  kinds: [
    {
      name: "draft",
      model: "large",
      perSecond: 26.4,
      promptTokens: { median: 1_000, sigma: 1, min: 60, max: 4_070 },
      outputTokens: { median: 90, sigma: 1.5, min: 7, max: 549 },
      objectiveMs: 302,
      maxPauseMs: 300,
      deadlineMs: 8_067,
    },
    {
      name: "question",
      model: "small",
      perSecond: 267,
      promptTokens: { median: 480, sigma: 0.89, min: 60, max: 2_380 },
      outputTokens: { median: 160, sigma: 1.2, min: 7, max: 549 },
      objectiveMs: 202,
      maxPauseMs: 200,
      deadlineMs: 5_048,
    },
    {
      name: "summary",
      model: "large",
      perSecond: 17.6,
      promptTokens: { median: 1_150, sigma: 1.3, min: 60, max: 5_920 },
      outputTokens: { median: 10, sigma: 1.6, min: 7, max: 252 },
      objectiveMs: 403,
      maxPauseMs: 300,
      deadlineMs: 5_036,
    },
  ],
  trafficSwing: 0.55,
  trafficPeriodMs: 15 * MS_PER_SECOND,
  leadMs: 16 * MS_PER_SECOND,
  trafficMs: 34 * MS_PER_SECOND,
  settings: { retryRatio: 0.2, retrySlack: 447, stallMs: 6_000 },
  faults: [],
};

/** Returns the kinds of requests with the traffic of each model scaled. */
function scaleKinds(factors: Readonly<Record<string, number>>): RequestKind[] {
  return COMPETING_STREAMS.kinds.map((kind) => ({
    ...kind,
    perSecond: kind.perSecond * factors[kind.model]!,
  }));
}

/** A pool of 162 runners before 74 daemons, with groups of eight and of two. */
export const MIDDLE_FLEET: Scenario = {
  ...COMPETING_STREAMS,
  name: "middle_fleet",
  daemonsByZone: [26, 24, 24],
  domainsByZone: [3, 3, 3],
  runnersPerDomain: 18,
  queueLength: 28,
  engine: {
    ...COMPETING_STREAMS.engine,
    slots: 14,
    models: [
      { name: "large", size: 8, share: 0.5, pace: 1, loadMs: 16_000 },
      { name: "small", size: 2, share: 0.5, pace: 0.6, loadMs: 12_000 },
    ],
  },
  kinds: scaleKinds({ large: 1.5, small: 1.14 }),
  settings: { retryRatio: 0.2, retrySlack: 248, stallMs: 6_000 },
};

/** A pool of 60 runners before nine daemons, with groups of four and of two. */
export const SMALL_FLEET: Scenario = {
  ...COMPETING_STREAMS,
  name: "small_fleet",
  daemonsByZone: [3, 3, 3],
  runnersPerDomain: 10,
  queueLength: 24,
  engine: {
    ...COMPETING_STREAMS.engine,
    slots: 12,
    models: [
      { name: "large", size: 4, share: 0.5, pace: 1, loadMs: 16_000 },
      { name: "small", size: 2, share: 0.5, pace: 0.6, loadMs: 12_000 },
    ],
    loadsPerSecond: 5,
    loadsAtOnce: 7,
  },
  kinds: scaleKinds({ large: 0.7, small: 0.3 }),
  settings: { retryRatio: 0.2, retrySlack: 109, stallMs: 6_000 },
};

/** Scenarios by name. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  [COMPETING_STREAMS.name]: COMPETING_STREAMS,
  [MIDDLE_FLEET.name]: MIDDLE_FLEET,
  [SMALL_FLEET.name]: SMALL_FLEET,
};

const LOSS_INTERVAL_MS = 3 * MS_PER_SECOND;
const ADD_INTERVAL_MS = 3 * MS_PER_SECOND;
const FIRST_ADD_MS = 11 * MS_PER_SECOND;
const DARK_MS = 7_800;
const CUT_MS = 5 * MS_PER_SECOND;

/**
 * Draws the faults of a day: members of groups are lost all the time, runners without weights come in their place, and a
 * domain goes dark or runners lose the store.
 *
 * @example
 * ```ts
 * simulate({ ...COMPETING_STREAMS, faults: drawFaults(COMPETING_STREAMS, 7) }, { seed: 7 });
 * ```
 */
export function drawFaults(
  { daemonsByZone, domainsByZone, trafficMs }: Scenario,
  seed: number,
): Fault[] {
  const random = createRandom(seed);
  const zones = daemonsByZone.length;
  const faults: Fault[] = [];
  let zone = nextIndex(random, zones);
  for (let atMs = 2_500; atMs < trafficMs; atMs += LOSS_INTERVAL_MS) {
    const jitterMs = nextFloat(random) * MS_PER_SECOND;
    const count = 2 + nextIndex(random, 2);
    faults.push({ kind: "lose_members", atMs: atMs + jitterMs, zone, count });
    zone = (zone + 1) % zones;
  }
  for (let atMs = FIRST_ADD_MS; atMs < trafficMs; atMs += ADD_INTERVAL_MS) {
    const count = 2 + nextIndex(random, 2);
    faults.push({ kind: "add_runners", atMs, zone, count });
    zone = (zone + 1) % zones;
  }
  const domains = domainsByZone.reduce((sum, count) => sum + count, 0);
  const atMs = (10 + 8 * nextFloat(random)) * MS_PER_SECOND;
  faults.push(
    nextFloat(random) < 0.5
      ? {
        kind: "domain_dark",
        atMs,
        forMs: DARK_MS,
        domain: nextIndex(random, domains),
      }
      : { kind: "cut_from_store", atMs, forMs: CUT_MS, share: 0.12 },
    { kind: "change_planner", atMs: 17 * MS_PER_SECOND },
  );
  return faults;
}
