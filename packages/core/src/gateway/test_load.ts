/**
 * Simulates callers and groups of engines around a gateway under test, in virtual time.
 *
 * @module
 */
import { createRandom, nextFloat, type Random } from "../util/random.ts";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  effectsOf,
  ENGINE,
  type GatewayHarness,
  publish,
} from "./test_fixture.ts";
import type { EngineProfile, Route } from "./types.ts";

/** Requests of one route and team. */
export interface Load {
  route: string;
  team: string;
  perSecond: number;
  promptTokens: number;
  outputTokens: number;
  /** True where a refused caller repeats its request at once, whatever `Retry-After` says. */
  repeatsAtOnce?: boolean;
}

/** What became of the requests of one load. */
export interface Served {
  /** Distinct requests of callers; one that comes back counts once. */
  offered: number;
  /** First events within the objective. */
  inTime: number;
  /** First events after it. */
  late: number;
  refusals: number;
}

/** Engines that read 20,000 prompt tokens and write 20 tokens a second for each request. */
export const LOAD_ENGINE: EngineProfile = {
  ...ENGINE,
  speed: {
    stepMs: 50,
    stepMsPerRequest: 0,
    stepMsPerContextKiloToken: 0,
    stepsPerPass: 1,
    prefillTokensPerSecond: 20_000,
    prefillChunkTokens: 2_000,
    usual: { promptTokens: 1_000, outputTokens: 20 },
  },
  models: [{ name: "small", size: 2, share: 1, pace: 1, loadMs: 12_000 }],
};

const MS_PER_SECOND = 1_000;
const STEP_MS = 10;
const MS_PER_TOKEN = 50;
const PROMPT_TOKENS_PER_MS = 20;
/** Time that a request and its first event take on their way, ms. */
const NETWORK_MS = 20;
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

interface Job {
  load: Load;
  startedAt: number;
  served: Served;
  objectiveMs: number;
  tries: number;
  id: number;
}

interface Running {
  id: string;
  runner: string;
  urgency: number;
  job: Job;
}

/** Options of {@link playLoads}. */
export interface PlayOptions {
  routes: Route[];
  groups: number;
  seconds: number;
  seed?: number;
  /** True where the gateway recognizes requests that come back. */
  hasFingerprints?: boolean;
  /** Changes the gateway before the first request. */
  prepare?(harness: GatewayHarness): void;
}

/** A simulation in progress. */
interface Play {
  harness: GatewayHarness;
  random: Random;
  jobs: Map<string, Job>;
  running: Map<string, Running[]>;
  queued: Map<string, Running[]>;
  /** What happens later, by time, ms. */
  agenda: { at: number; run: () => void }[];
  seenEffects: number;
  hasFingerprints: boolean;
  count: number;
}

function at(play: Play, delayMs: number, run: () => void): void {
  play.agenda.push({ at: play.harness.state.now + delayMs, run });
}

function arrive(play: Play, job: Job): void {
  const { harness } = play;
  const { load } = job;
  const leftMs = job.startedAt + BUDGET_MS - harness.state.now;
  const hasTries = load.repeatsAtOnce || job.tries < MAX_TRIES;
  if (leftMs < GIVE_UP_MS || !hasTries) return;
  job.tries += 1;
  play.count += 1;
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

function loadOf(play: Play, runner: string) {
  const running = play.running.get(runner)?.length ?? 0;
  const waiting = play.queued.get(runner)?.length ?? 0;
  return { running, waiting };
}

function begin(play: Play, run: Running): void {
  const { harness } = play;
  const { load } = run.job;
  const running = play.running.get(run.runner) ?? [];
  running.push(run);
  play.running.set(run.runner, running);
  const attempt = 1;
  const readMs = load.promptTokens / PROMPT_TOKENS_PER_MS + NETWORK_MS;
  at(play, readMs, () => {
    const event = { request: run.id, attempt };
    harness.feed({
      ...event,
      kind: "response_started",
      status: 200,
      verdict: "ran",
      load: loadOf(play, run.runner),
    });
    harness.feed({ ...event, kind: "response_progressed", lastEvent: "1" });
    const tookMs = harness.state.now - run.job.startedAt;
    if (tookMs <= run.job.objectiveMs) run.job.served.inTime += 1;
    else run.job.served.late += 1;
  });
  // Equal times would free slots in step with the return of refused callers.
  const outputTokens = load.outputTokens * (0.5 + nextFloat(play.random));
  at(play, readMs + outputTokens * MS_PER_TOKEN, () => end(play, run));
}

function end(play: Play, run: Running): void {
  const running = play.running.get(run.runner)!;
  running.splice(running.indexOf(run), 1);
  const queued = play.queued.get(run.runner) ?? [];
  queued.sort((left, right) => left.urgency - right.urgency);
  const next = queued.shift();
  if (next !== undefined) begin(play, next);
  play.harness.feed({
    kind: "response_ended",
    request: run.id,
    attempt: 1,
    status: 200,
    verdict: "ran",
    isRelayable: false,
  });
}

/** Carries out what the gateway has decided since the last step. */
function carryOut(play: Play): void {
  const { harness } = play;
  const effects = harness.effects.slice(play.seenEffects);
  play.seenEffects = harness.effects.length;
  for (const send of effectsOf(effects, "send_to_runner")) {
    const { request: id, runner, urgency } = send;
    const run = { id, runner, urgency, job: play.jobs.get(id)! };
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
  const { harness } = play;
  harness.advance(STEP_MS);
  const { now } = harness.state;
  const due = play.agenda.filter((entry) => entry.at <= now);
  play.agenda = play.agenda.filter((entry) => entry.at > now);
  for (const { run } of due) run();
  carryOut(play);
}

function start(loads: readonly Load[], options: PlayOptions): Play {
  const { routes, groups, seed = 7, hasFingerprints = false, prepare } =
    options;
  const harness = createHarness({}, { seed });
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
  const document = createDocument({ routes, teams, services });
  publish(harness, { runners, document });
  prepare?.(harness);
  return {
    harness,
    random: createRandom(seed),
    jobs: new Map(),
    running: new Map(),
    queued: new Map(),
    agenda: [],
    seenEffects: harness.effects.length,
    hasFingerprints,
    count: 0,
  };
}

/** Plays loads against groups of engines and returns what became of each. */
export function playLoads(
  loads: readonly Load[],
  options: PlayOptions,
): Served[] {
  const play = start(loads, options);
  const { harness, random } = play;
  const results = loads.map(() => ({
    offered: 0,
    inTime: 0,
    late: 0,
    refusals: 0,
  }));
  for (let time = 0; time < options.seconds * MS_PER_SECOND; time += STEP_MS) {
    const { now: confirmedAt } = harness.state;
    if (time % MS_PER_SECOND === 0) {
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
      const startedAt = harness.state.now;
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
