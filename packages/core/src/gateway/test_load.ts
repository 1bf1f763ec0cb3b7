/**
 * Simulates callers of gateways under test, in virtual time.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import {
  createFleet,
  type SimulatedFleet,
} from "../read_sharing/test_fleet.ts";
import { createRandom, nextFloat, nextIndex } from "../util/random.ts";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  effectsOf,
  type GatewayHarness,
  publish,
} from "./test_fixture.ts";
import {
  at,
  begin,
  type Job,
  type Load,
  LOAD_ENGINE,
  loadOf,
  nowOf,
  type Play,
  type Served,
} from "./test_engines.ts";
import type { Route } from "./types.ts";

const MS_PER_SECOND = 1_000;
const STEP_MS = 10;
/** Time in which the daemons of a fleet get the configuration, ms. */
const FLEET_START_MS = 4_000;
/** Time between refusal and repeat of a caller that does not wait, ms. */
const REPEAT_MS = 10;
/** Time for which a caller tries, ms. */
const BUDGET_MS = 4_000;
/** Tries of a caller that heeds `Retry-After`. */
const MAX_TRIES = 3;
/** Time left at which a caller gives up, ms. */
const GIVE_UP_MS = 500;

/** Creates a streaming route to the engines. */
export function createStreamRoute(
  name: string,
  changes: Partial<Route> = {},
): Route {
  return createRoute({
    name,
    prefix: `/${name}/`,
    kind: "stream",
    timeoutMs: BUDGET_MS,
    targetLatencyMs: 300,
    priority: 0,
    backends: [{ service: "llm", weight: 1 }],
    ...changes,
  });
}

/** Options of {@link playLoads}. */
export interface PlayOptions {
  routes: Route[];
  groups: number;
  seconds: number;
  seed?: number;
  /** Daemons among which all tries are spread at random; 1 by default. */
  daemons?: number;
  /** What the daemons share as a fleet: counts by route and team, or load reports too; none where undefined. */
  sharing?: "counts" | "counts_and_loads";
  /** True where the gateway recognizes requests that come back. */
  hasFingerprints?: boolean;
  /** Changes the gateway before the first request. */
  prepare?(harness: GatewayHarness): void;
}

function arrive(play: Play, job: Job): void {
  const { load } = job;
  const leftMs = job.startedAt + BUDGET_MS - nowOf(play);
  const hasTries = load.repeatsAtOnce || job.tries < MAX_TRIES;
  if (leftMs < GIVE_UP_MS || !hasTries) return;
  job.tries += 1;
  play.count += 1;
  const { harnesses, random } = play;
  const harness = harnesses[nextIndex(random, harnesses.length)]!;
  const request = `r${play.count}`;
  play.jobs.set(request, job);
  harness.feed({
    kind: "routed_request_arrived",
    request,
    host: "a.example",
    path: `/${load.route}/1`,
    key: `key-${load.team}`,
    deadlineMs: leftMs,
    model: "small",
    promptTokens: load.promptTokens,
    maxOutputTokens: load.outputTokens,
    promptParts: [],
    fingerprint: play.hasFingerprints ? `job-${job.id}` : undefined,
    lastEvent: undefined,
  });
}

/** Carries out what the gateway has decided since the last step. */
function carryOut(play: Play): void {
  play.harnesses.forEach((harness, index) => {
    const effects = harness.effects.slice(play.seenEffects[index]);
    play.seenEffects[index] = harness.effects.length;
    carryOutEffects(play, harness, effects);
  });
}

function carryOutEffects(
  play: Play,
  harness: GatewayHarness,
  effects: readonly Effect[],
): void {
  for (const send of effectsOf(effects, "send_to_runner")) {
    const { request: id, runner, urgency } = send;
    const job = play.jobs.get(id)!;
    const run = { harness, id, runner, urgency, job };
    const queued = play.queued.get(runner) ?? [];
    play.queued.set(runner, queued);
    if (loadOf(play, runner).running < LOAD_ENGINE.slots) begin(play, run);
    else queued.push(run);
  }
  for (const { request, retryAfterMs } of effectsOf(effects, "refuse")) {
    const job = play.jobs.get(request)!;
    job.served.refusals += 1;
    const delayMs = job.load.repeatsAtOnce ? REPEAT_MS : retryAfterMs ?? 0;
    at(play, Math.max(REPEAT_MS, delayMs), () => arrive(play, job));
  }
}

function step(play: Play): void {
  if (play.fleet !== undefined) play.fleet.advance(STEP_MS);
  else for (const harness of play.harnesses) harness.advance(STEP_MS);
  const now = nowOf(play);
  const due = play.agenda.filter((entry) => entry.at <= now);
  play.agenda = play.agenda.filter((entry) => entry.at > now);
  for (const { run } of due) run();
  carryOut(play);
}

function start(loads: readonly Load[], options: PlayOptions): Play {
  const { routes, groups, daemons = 1, seed = 7, prepare } = options;
  const teams = [...new Set(loads.map(({ team }) => team))].map((name) => ({
    name,
    keys: [`key-${name}`],
    priority: undefined,
  }));
  const runners = Array.from(
    { length: groups },
    (_, index) => createHead(`head-${index}`),
  );
  const services = [{ name: "llm", engine: LOAD_ENGINE }];
  const document = createDocument({ version: 2, routes, teams, services });
  const fleet = options.sharing &&
    startFleet(daemons, { store: { runners, document }, options });
  const harnesses = fleet?.daemons.map(({ harness }) => harness) ??
    Array.from({ length: daemons }, (_, index) => {
      const harness = createHarness({}, { seed: seed + index });
      publish(harness, { runners, document });
      return harness;
    });
  for (const harness of harnesses) prepare?.(harness);
  return {
    harnesses,
    fleet,
    seenEffects: harnesses.map(({ effects }) => effects.length),
    random: createRandom(seed),
    jobs: new Map(),
    running: new Map(),
    queued: new Map(),
    agenda: [],
    hasFingerprints: options.hasFingerprints ?? false,
    count: 0,
  };
}

/** Starts daemons of one zone that share their reads of a store with these data. */
function startFleet(
  daemons: number,
  { store, options: { sharing } }: {
    store: Pick<SimulatedFleet["store"], "runners" | "document">;
    options: PlayOptions;
  },
): SimulatedFleet {
  const fleet = createFleet({ a: daemons }, { stepMs: STEP_MS });
  if (sharing === "counts") {
    fleet.limitsArriving = (event) => [
      { ...event, loads: undefined, evidence: undefined },
    ];
  }
  Object.assign(fleet.store, store);
  fleet.store.position.offset = 2;
  fleet.advance(FLEET_START_MS);
  return fleet;
}

/** Plays loads against groups of engines and returns what became of each. */
export function playLoads(
  loads: readonly Load[],
  options: PlayOptions,
): Served[] {
  const play = start(loads, options);
  const { harnesses, random } = play;
  const results = loads.map(() => ({
    offered: 0,
    inTime: 0,
    late: 0,
    refusals: 0,
  }));
  for (let time = 0; time < options.seconds * MS_PER_SECOND; time += STEP_MS) {
    const confirmedAt = nowOf(play);
    const isDue = play.fleet === undefined && time % MS_PER_SECOND === 0;
    for (const harness of isDue ? harnesses : []) {
      harness.feed({
        kind: "freshness_confirmed",
        topic: "routing",
        confirmedAt,
      });
    }
    loads.forEach((load, index) => {
      if (nextFloat(random) >= load.perSecond * STEP_MS / MS_PER_SECOND) return;
      const served = results[index]!;
      served.offered += 1;
      const route = options.routes.find(({ name }) => name === load.route)!;
      const objectiveMs = route.targetLatencyMs;
      const startedAt = nowOf(play);
      arrive(play, {
        load,
        startedAt,
        served,
        objectiveMs,
        tries: 0,
        id: play.count,
      });
    });
    carryOut(play);
    step(play);
  }
  return results;
}

/** Returns the share of the distinct requests that got a first event. */
export function servedShare({ offered, inTime, late }: Served): number {
  return (inTime + late) / offered;
}

/** Returns the share of the distinct requests that got a first event within the objective. */
export function inTimeShare({ offered, inTime }: Served): number {
  return inTime / offered;
}
