/**
 * Simulates daemons in front of runners that crash on a part of a prompt, in virtual time and without a network.
 *
 * A runner that begins to write on such a part cuts off everything that it runs, listens no more for some seconds, and
 * then comes back as another one.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import type { PartRecord } from "./types.ts";
import {
  createHarness,
  createHead,
  type EffectOf,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "../gateway/test_fixture.ts";

/** Time from the arrival of a request at a runner until it begins to write, ms. */
const PREFILL_MS = 150;
/** Time from the first byte of a response until the crash that its prompt causes, ms. */
const CRASH_MS = 60;
const EVENT_INTERVAL_MS = 50;
const EVENTS = 20;
/** Time for which a crashed runner does not listen, ms. */
const DOWN_MS = 4_000;
const STEP_MS = 10;
const RENEW_INTERVAL_MS = 300;
const CONFIRM_INTERVAL_MS = 1_000;
/** Time from a write of a record to the store until the other daemons have read it, ms. */
const SHARE_MS = 60;

/** A request that was sent to a runner. */
export interface SentRequest {
  request: string;
  attempt: number;
  parts: readonly string[];
  fingerprint: string | undefined;
  /** Time of the send, ms. */
  at: number;
  /** True once the runner has begun to write. */
  hasBegun: boolean;
}

interface RequestContent {
  parts: readonly string[];
  fingerprint: string | undefined;
}

/** A request that a simulated caller sends. */
export interface SimulatedRequest {
  daemon: number;
  /** Shared parts of the prompt. */
  parts: readonly string[];
  fingerprint?: string | undefined;
}

interface SharedRecords {
  records: readonly PartRecord[];
  /** Time at which the daemons have read them, ms. */
  readAt: number;
}

interface RunningAttempt {
  daemon: GatewayHarness;
  sent: SentRequest;
  beginsAt: number;
  crashesAt: number;
  events: number;
}

interface SimulatedRunner {
  id: string;
  running: RunningAttempt[];
  downUntil: number;
}

/** A simulated fleet. */
export interface CrashingFleet {
  daemons: GatewayHarness[];
  /** Requests that reached a runner that listened. */
  sent: SentRequest[];
  /** Times at which a runner crashed, ms. */
  crashes: number[];
  /** Parts of prompts that crash runners. */
  crashingParts: Set<string>;
  /** Fingerprints of requests that crash runners. */
  crashingRequests: Set<string>;
  /** Returns the time, ms. */
  now(): number;
  /** Sends a request with the given shared parts to a daemon; its effects are those of the arrival. */
  request(
    id: string,
    options: SimulatedRequest,
  ): Effect[];
  /** Crashes a runner for a cause of its own. */
  crash(runner: string): void;
  /** Resets the connections of a runner that goes on. */
  reset(runner: string): void;
  /** Makes a daemon the leader, and no other one. */
  lead(daemon: number): void;
  /** Ids of the runners. */
  runners: string[];
  /** Advances the time and calls `onStep` with each step's time, ms. */
  run(ms: number, onStep?: (now: number) => void): void;
}

/** Creates a fleet of daemons and heads of groups that serve the model `small`. */
export function createCrashingFleet(
  { daemons: daemonCount, heads }: { daemons: number; heads: number },
): CrashingFleet {
  const daemons = Array.from({ length: daemonCount }, () => createHarness());
  const runners = new Map<string, SimulatedRunner>();
  const contentByRequest = new Map<string, RequestContent>();
  const list = Array.from(
    { length: heads },
    (_, index) => createHead(`head-${index}`),
  );
  for (const { id } of list) {
    runners.set(id, { id, running: [], downUntil: 0 });
  }
  for (const daemon of daemons) publish(daemon, { runners: list });
  const fleet: CrashingFleet = {
    daemons,
    sent: [],
    crashes: [],
    crashingParts: new Set(),
    crashingRequests: new Set(),
    now: () => now,
    request,
    crash: (id) => crash(runners.get(id)!),
    reset: (id) => cutAll(runners.get(id)!),
    lead: (index) => leader = index,
    runners: list.map(({ id }) => id),
    run,
  };
  let now = 0;
  let leader = 0;
  let shared: SharedRecords[] = [];

  type Event = Parameters<GatewayHarness["feed"]>[0];

  function feed(daemon: GatewayHarness, event: Event): void {
    carryOut(daemon, daemon.feed(event));
  }

  function carryOut(daemon: GatewayHarness, effects: readonly Effect[]): void {
    for (const send of effectsOf(effects, "send_to_runner")) {
      receive(daemon, send);
    }
    for (const { request: id, attempt } of effectsOf(effects, "cancel")) {
      for (const runner of runners.values()) {
        runner.running = runner.running.filter(({ daemon: by, sent }) =>
          by !== daemon || sent.request !== id || sent.attempt !== attempt
        );
      }
    }
    for (const { records } of effectsOf(effects, "share_parts")) {
      shared.push({ records, readAt: now + SHARE_MS });
    }
    for (const { runner } of effectsOf(effects, "probe_path")) {
      const isReachable = runners.get(runner)!.downUntil <= now;
      feed(daemon, { kind: "path_probed", runner, isReachable });
    }
    for (const { runner } of effectsOf(effects, "check_runner")) {
      const isDown = runners.get(runner)!.downUntil > now;
      const status = isDown ? "refused" : "alive";
      feed(daemon, {
        kind: "runner_checked",
        runner,
        status,
        report: undefined,
      });
    }
  }

  function receive(
    daemon: GatewayHarness,
    { request: id, attempt, runner, address }: EffectOf<"send_to_runner">,
  ): void {
    const target = runners.get(runner)!;
    if (target.downUntil > now) {
      return feed(daemon, {
        kind: "response_failed",
        request: id,
        attempt,
        outcome: "connect_refused",
      });
    }
    feed(daemon, { kind: "runner_connected", address });
    const content = contentByRequest.get(id)!;
    const { parts, fingerprint } = content;
    const isCrashing = parts.some((part) => fleet.crashingParts.has(part)) ||
      fleet.crashingRequests.has(fingerprint ?? "");
    const sent = { request: id, attempt, ...content, at: now, hasBegun: false };
    fleet.sent.push(sent);
    target.running.push({
      daemon,
      sent,
      beginsAt: now + PREFILL_MS,
      crashesAt: isCrashing ? now + PREFILL_MS + CRASH_MS : Infinity,
      events: 0,
    });
  }

  function crash(runner: SimulatedRunner): void {
    fleet.crashes.push(now);
    runner.downUntil = now + DOWN_MS;
    cutAll(runner);
  }

  function cutAll(runner: SimulatedRunner): void {
    for (const { daemon, sent } of runner.running.splice(0)) {
      feed(daemon, {
        kind: "response_failed",
        request: sent.request,
        attempt: sent.attempt,
        outcome: sent.hasBegun ? "body_cut_off" : "reset_after_send",
      });
    }
  }

  function work(attempt: RunningAttempt): void {
    const { daemon, sent, beginsAt, crashesAt } = attempt;
    const at = { request: sent.request, attempt: sent.attempt };
    if (!sent.hasBegun && now >= beginsAt) {
      sent.hasBegun = true;
      feed(daemon, {
        kind: "response_started",
        ...at,
        status: 200,
        verdict: "ran",
        load: undefined,
      });
    }
    if (!sent.hasBegun || crashesAt < Infinity) return;
    const due = Math.floor((now - beginsAt) / EVENT_INTERVAL_MS);
    if (due <= attempt.events) return;
    attempt.events = due;
    feed(daemon, {
      kind: "response_progressed",
      ...at,
      lastEvent: String(due),
    });
    if (due < EVENTS) return;
    feed(daemon, {
      kind: "response_ended",
      ...at,
      status: 200,
      verdict: "ran",
      isRelayable: false,
    });
  }

  function request(
    id: string,
    { daemon: index, parts, fingerprint }: SimulatedRequest,
  ): Effect[] {
    contentByRequest.set(id, { parts, fingerprint });
    const daemon = daemons[index % daemons.length]!;
    const effects = sendRequest(daemon, id, {
      path: "/chat/1",
      model: "small",
      deadlineMs: 6_000,
      promptParts: parts,
      fingerprint,
    });
    carryOut(daemon, effects);
    return effects;
  }

  function confirmStore(): void {
    for (const daemon of daemons) {
      for (const topic of ["routing", "runners"] as const) {
        feed(daemon, { kind: "freshness_confirmed", topic, confirmedAt: now });
      }
    }
  }

  function passOnRecords(): void {
    const due = shared.filter(({ readAt }) => readAt <= now);
    shared = shared.filter(({ readAt }) => readAt > now);
    for (const { records } of due) {
      const readings = records.map((record) => ({ record, ageMs: 0 }));
      for (const daemon of daemons) {
        feed(daemon, { kind: "parts_read", readings });
      }
    }
  }

  function renewLeadership(): void {
    daemons.forEach((daemon, index) =>
      feed(daemon, {
        kind: "leadership_renewed",
        isGranted: index === leader,
        sentAt: now,
      })
    );
  }

  function step(): void {
    now += STEP_MS;
    passOnRecords();
    if (now % RENEW_INTERVAL_MS === 0) renewLeadership();
    if (now % CONFIRM_INTERVAL_MS === 0) confirmStore();
    for (const daemon of daemons) carryOut(daemon, daemon.advance(STEP_MS));
    for (const runner of runners.values()) {
      for (const attempt of [...runner.running]) work(attempt);
      runner.running = runner.running.filter(({ events }) => events < EVENTS);
      if (runner.running.some(({ crashesAt }) => now >= crashesAt)) {
        crash(runner);
      }
    }
  }

  function run(ms: number, onStep?: (now: number) => void): void {
    for (const end = now + ms; now < end;) {
      step();
      onStep?.(now);
    }
  }

  return fleet;
}
