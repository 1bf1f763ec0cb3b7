/**
 * Simulates groups of engines behind gateways under test, in virtual time.
 *
 * @module
 */
import { nextFloat, type Random } from "../util/random.ts";
import type { SimulatedFleet } from "../read_sharing/test_fleet.ts";
import { ENGINE, type GatewayHarness } from "./test_fixture.ts";
import type { EngineProfile } from "./types.ts";

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

const MS_PER_TOKEN = 50;
const PROMPT_TOKENS_PER_MS = 20;
/** Time that a request and its first event take on their way, ms. */
const NETWORK_MS = 20;

/** One request of a caller, over all its tries. */
export interface Job {
  load: Load;
  startedAt: number;
  served: Served;
  objectiveMs: number;
  tries: number;
  id: number;
}

/** One try at a runner. */
export interface Running {
  /** The daemon that sent it. */
  harness: GatewayHarness;
  id: string;
  runner: string;
  urgency: number;
  job: Job;
}

/** A simulation in progress. */
export interface Play {
  harnesses: GatewayHarness[];
  /** The fleet that the daemons make up; undefined where each is on its own. */
  fleet: SimulatedFleet | undefined;
  /** Effects of each daemon that have been carried out. */
  seenEffects: number[];
  random: Random;
  jobs: Map<string, Job>;
  running: Map<string, Running[]>;
  queued: Map<string, Running[]>;
  /** What happens later, by time, ms. */
  agenda: { at: number; run: () => void }[];
  hasFingerprints: boolean;
  count: number;
}

/** Returns the time of a simulation, ms. */
export function nowOf({ harnesses }: Play): number {
  return harnesses[0]!.state.now;
}

/** Schedules what happens later in a simulation. */
export function at(play: Play, delayMs: number, run: () => void): void {
  play.agenda.push({ at: nowOf(play) + delayMs, run });
}

/** Returns the load of a runner. */
export function loadOf(play: Play, runner: string) {
  const running = play.running.get(runner)?.length ?? 0;
  const waiting = play.queued.get(runner)?.length ?? 0;
  return { running, waiting };
}

/** Runs a request at its runner. */
export function begin(play: Play, run: Running): void {
  const { harness } = run;
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
  run.harness.feed({
    kind: "response_ended",
    request: run.id,
    attempt: 1,
    status: 200,
    verdict: "ran",
    isRelayable: false,
  });
}
