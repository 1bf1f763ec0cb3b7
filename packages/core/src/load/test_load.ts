/**
 * Puts load on simulated daemons in front of simulated runners, in virtual time and without a network.
 *
 * @module
 */
import { effectsOf, sendRequest } from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import type {
  SimulatedDaemon,
  SimulatedFleet,
} from "../read_sharing/test_fleet.ts";
import { createRandom, nextFloat } from "../util/random.ts";

/** A request at a simulated runner. */
interface Job {
  daemon: SimulatedDaemon;
  request: string;
  attempt: number;
  /** Time of its first event, ms; undefined while it waits for a slot. */
  firstEventAt: number | undefined;
  endAt: number;
  nextEventAt: number;
  hasBegun: boolean;
}

/** A simulated runner: it starts requests in order of arrival while it has slots. */
export interface SimulatedRunner {
  runner: Runner;
  /** Factor on the time to the first event. */
  slowdown: number;
  /** True while it breaks off each answer. */
  isFailing: boolean;
  jobs: Job[];
  /** Requests received. */
  received: number;
  /** Most requests at once, running and waiting. */
  peak: number;
}

/** Load on a fleet. */
export interface SimulatedLoad {
  runners: SimulatedRunner[];
  /** Requests sent to runners so far. */
  sent: number;
  /** Sends to a runner of another availability zone. */
  crossings: number;
  refusals: number;
  /** Arrivals at a runner whose slots were all taken. */
  queued: number;
  /** Connections opened to runners so far. */
  newConnections: number;
  /** Starts requests at the rate of each daemon, 1/s, for a time. */
  run(ms: number, rateOf: (daemon: SimulatedDaemon) => number): void;
}

/** Options of {@link createLoad}. */
export interface LoadOptions {
  slots: number;
  /** Time from the first event of a stream to its end, ms. */
  holdMs: number;
  stepMs: number;
  seed?: number;
}

/** Time to the first event of a request at an idle runner, and additional time for each one that runs there, ms. */
const FIRST_EVENT_MS = 30;
const FIRST_EVENT_MS_PER_REQUEST = 2;
const EVENT_INTERVAL_MS = 100;
/** A runner closes a connection that was not used for this long, ms. */
const KEEP_ALIVE_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Creates load on a fleet whose runners are those of its store. */
export function createLoad(
  fleet: SimulatedFleet,
  { slots, holdMs, stepMs, seed = 1 }: LoadOptions,
): SimulatedLoad {
  const random = createRandom(seed);
  const byId = new Map<string, SimulatedRunner>(
    fleet.store.runners.map((runner) => [
      runner.id,
      { runner, slowdown: 1, isFailing: false, jobs: [], received: 0, peak: 0 },
    ]),
  );
  const cursors = new Map<SimulatedDaemon, number>();
  /** Times at which idle connections were last used, by daemon and runner. */
  const idle = new Map<string, number[]>();
  let now = 0;
  let count = 0;

  const load: SimulatedLoad = {
    runners: [...byId.values()],
    sent: 0,
    crossings: 0,
    refusals: 0,
    queued: 0,
    newConnections: 0,
    run(ms, rateOf) {
      for (const end = now + ms; now < end;) {
        now += stepMs;
        fleet.advance(stepMs);
        for (const daemon of fleet.daemons) arrive(daemon, rateOf(daemon));
        for (const daemon of fleet.daemons) takeEffects(daemon);
        for (const runner of load.runners) work(runner);
      }
    },
  };

  function arrive(daemon: SimulatedDaemon, rate: number): void {
    if (nextFloat(random) >= rate * stepMs / MS_PER_SECOND) return;
    count += 1;
    sendRequest(daemon.harness, `r${count}`, {
      path: "/chat/1",
      model: "small",
      deadlineMs: 8_000,
    });
  }

  function takeEffects(daemon: SimulatedDaemon): void {
    const { effects } = daemon.harness;
    const fresh = effects.slice(cursors.get(daemon) ?? 0);
    cursors.set(daemon, effects.length);
    load.refusals += effectsOf(fresh, "refuse").length;
    for (const effect of fresh) {
      if (effect.kind === "send_to_runner") receive(daemon, effect);
      if (effect.kind === "cancel") cancel(daemon, effect.request);
    }
  }

  function receive(
    daemon: SimulatedDaemon,
    { runner: id, request, attempt }: {
      runner: string;
      request: string;
      attempt: number;
    },
  ): void {
    const target = byId.get(id)!;
    load.sent += 1;
    if (target.runner.zone !== daemon.entry.zone) load.crossings += 1;
    target.received += 1;
    connect(daemon, id);
    target.jobs.push({
      daemon,
      request,
      attempt,
      firstEventAt: undefined,
      endAt: Infinity,
      nextEventAt: Infinity,
      hasBegun: false,
    });
    if (target.jobs.length > slots) load.queued += 1;
    target.peak = Math.max(target.peak, target.jobs.length);
  }

  function idleOf(daemon: SimulatedDaemon, runner: string): number[] {
    const key = `${daemon.entry.node} ${runner}`;
    const usable = (idle.get(key) ?? []).filter((at) =>
      now - at < KEEP_ALIVE_MS
    );
    idle.set(key, usable);
    return usable;
  }

  function connect(daemon: SimulatedDaemon, runner: string): void {
    if (idleOf(daemon, runner).pop() === undefined) load.newConnections += 1;
  }

  function cancel(daemon: SimulatedDaemon, request: string): void {
    for (const runner of load.runners) {
      runner.jobs = runner.jobs.filter((job) =>
        job.daemon !== daemon || job.request !== request
      );
    }
  }

  function work(target: SimulatedRunner): void {
    const { jobs, slowdown } = target;
    jobs.slice(0, slots).forEach((job, index) => {
      if (job.firstEventAt !== undefined) return;
      const firstEventMs = FIRST_EVENT_MS + index * FIRST_EVENT_MS_PER_REQUEST;
      job.firstEventAt = now + firstEventMs * slowdown;
      job.nextEventAt = job.firstEventAt;
      job.endAt = job.firstEventAt + holdMs * (0.5 + nextFloat(random));
    });
    for (const job of [...jobs]) {
      if (now >= job.endAt) end(target, job);
      else if (now >= job.nextEventAt) proceed(target, job);
    }
  }

  function proceed(target: SimulatedRunner, job: Job): void {
    if (target.isFailing) return breakOff(target, job);
    const { daemon: { harness }, request, attempt } = job;
    job.nextEventAt = now + EVENT_INTERVAL_MS;
    if (!job.hasBegun) {
      job.hasBegun = true;
      const running = Math.min(slots, target.jobs.length);
      harness.feed({
        kind: "response_started",
        request,
        attempt,
        status: 200,
        verdict: "ran",
        load: { running, waiting: target.jobs.length - running },
      });
    }
    harness.feed({
      kind: "response_progressed",
      request,
      attempt,
      lastEvent: undefined,
    });
  }

  function breakOff(target: SimulatedRunner, job: Job): void {
    const { daemon, request, attempt } = job;
    target.jobs.splice(target.jobs.indexOf(job), 1);
    const outcome = "body_cut_off";
    daemon.harness.feed({ kind: "response_failed", request, attempt, outcome });
  }

  function end(target: SimulatedRunner, job: Job): void {
    const { daemon, request, attempt } = job;
    target.jobs.splice(target.jobs.indexOf(job), 1);
    idleOf(daemon, target.runner.id).push(now);
    daemon.harness.feed({
      kind: "response_ended",
      request,
      attempt,
      status: 200,
      verdict: "ran",
      isRelayable: false,
    });
  }

  return load;
}
