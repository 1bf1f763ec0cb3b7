/**
 * Runs random schedules of bookings and configuration changes over a few real cores and one fake log, in virtual time,
 * and counts violations of the guarantees.
 *
 * @module
 */
import {
  type ConfigDocument,
  createRandom,
  type Effect,
  type EventBody,
  hashText,
  type LogRecord,
  nextFloat,
  nextIndex,
  type State,
  type StoredRecord,
  type Verdict,
} from "@primroseshed/core";
import { type Clock, createClock } from "../fleet/clock.ts";
import { createDrivenCore, peerJoinedEvent } from "../fleet/driven_core.ts";

/** Size and faults of a schedule. */
export interface ScheduleOptions {
  seed: number;
  entries: number;
  /** Number of bookings sent. */
  bookings: number;
  /** Number of different idempotency keys; few, so that keys repeat. */
  keys: number;
  /** Number of configuration changes published, some of them based on an old version. */
  configs: number;
  /** Number of random faults: entry deaths, log outages, disconnections of one entry from the log. */
  faults: number;
}

/** A response that a caller received. */
export interface CallerResponse {
  request: string;
  key: string | undefined;
  verdict: Verdict | undefined;
  code: string;
  wasLogUp: boolean;
}

/** What happened in a schedule. */
export interface ScheduleResult {
  /** Number of times that the service ran a booking, by idempotency key, or by request id where there is no key. */
  runs: Map<string, number>;
  /** Ids of requests that the service ran. */
  ranRequests: Set<string>;
  responses: CallerResponse[];
  /** Number of times that the offset of a daemon's configuration decreased. */
  reversions: number;
  /** Number of offsets at which the folds of two live daemons differ at the end. */
  differentFolds: number;
}

const KEY_HASH = "b".repeat(64);
const RUN_MS = 40_000;
/** Latency of the log, ms. */
const LOG_MS = 20;
/** Latency of a call to the service, ms. */
const CALL_MS = 1;
/** Latency of a message between entries, ms. */
const PEER_MS = 1;
const LOG_POLL_MS = 50;
const SERVICE_TIME_MS = 10;
const PRINCIPAL = { owner: "tavua", team: "t", caller: "c" };

function createDocument(version: number): ConfigDocument {
  const backends = ["a", "b"].map((name, index) => ({
    vm: `vm-${name}`,
    address: `http://10.0.0.${index + 1}:80`,
    zone: "z",
  }));
  return {
    base: {
      version: 1,
      owners: {
        tavua: {
          share: 1 + version,
          teams: { t: { callers: { c: { keySha256: KEY_HASH } } } },
        },
      },
      deployments: {
        lending: {
          kind: "service",
          callers: ["tavua"],
          backends,
          notRunStatuses: [503],
        },
      },
    },
    overlays: {},
  };
}

interface Daemon {
  name: string;
  state: State;
  dead: boolean;
  cutFromLog: boolean;
  incarnation: number;
  offset: number;
  feed(event: EventBody): void;
}

/** Runs one schedule; equal options give an equal result. */
export function runSchedule(options: ScheduleOptions): ScheduleResult {
  const random = createRandom(options.seed);
  const clock: Clock = createClock();
  const log: StoredRecord[] = [];
  let logIsUp = true;
  const result: ScheduleResult = {
    runs: new Map(),
    ranRequests: new Set(),
    responses: [],
    reversions: 0,
    differentFolds: 0,
  };
  const keys = new Map<string, string | undefined>();
  const daemons: Daemon[] = [];
  const chance = (share: number) => nextFloat(random) < share;
  const drawUpTo = (max: number) => nextFloat(random) * max;

  function store(records: readonly LogRecord[]): void {
    for (const record of records) {
      log.push({ offset: log.length + 1, at: clock.now, record });
    }
  }

  function append(daemon: Daemon, records: readonly LogRecord[]): void {
    const ids = records.map(({ id }) => id);
    const reachesLog = logIsUp && !daemon.cutFromLog;
    const isStored = reachesLog || chance(0.1);
    const isAcknowledged = reachesLog && !chance(0.1);
    const copy = structuredClone(records);
    clock.after(LOG_MS + drawUpTo(LOG_MS), () => {
      if (isStored && logIsUp) store(copy);
      clock.after(
        isAcknowledged ? LOG_MS : 1_000,
        () =>
          daemon.feed({
            kind: "append_completed",
            ids,
            stored: isAcknowledged,
          }),
      );
    });
  }

  function pollLog(daemon: Daemon): void {
    if (daemon.dead) return;
    if (!logIsUp || daemon.cutFromLog) daemon.feed({ kind: "log_unreachable" });
    else {
      const from = daemon.state.fold.next;
      daemon.feed({
        kind: "log_read",
        records: structuredClone(log.slice(from - 1, from + 50)),
        head: log.length,
        horizon: 1,
      });
    }
    clock.after(LOG_POLL_MS + drawUpTo(LOG_POLL_MS), () => pollLog(daemon));
  }

  function recordRun(request: string): void {
    const name = keys.get(request) ?? request;
    result.runs.set(name, (result.runs.get(name) ?? 0) + 1);
    result.ranRequests.add(request);
  }

  function sendToService(
    daemon: Daemon,
    { request, attempt }: Extract<Effect, { kind: "send" }>,
  ): void {
    const end = (
      outcome:
        | "completed"
        | "reset_after_send"
        | "status_not_run"
        | "connect_refused",
    ) =>
      daemon.feed({
        kind: "attempt_ended",
        request,
        attempt,
        outcome,
        ...(outcome === "completed" &&
          {
            response: { status: 201, contentType: "text/plain", body: request },
          }),
      });
    const draw = nextFloat(random);
    if (draw < 0.1) return clock.after(CALL_MS, () => end("connect_refused"));
    if (draw < 0.2) return clock.after(CALL_MS, () => end("status_not_run"));
    clock.after(CALL_MS + drawUpTo(SERVICE_TIME_MS), () => {
      recordRun(request);
      clock.after(
        drawUpTo(SERVICE_TIME_MS * 20),
        () => end(draw < 0.3 ? "reset_after_send" : "completed"),
      );
    });
  }

  function respond(
    request: string,
    verdict: Verdict | undefined,
    code: string,
  ): void {
    result.responses.push({
      request,
      key: keys.get(request),
      verdict,
      code,
      wasLogUp: logIsUp,
    });
  }

  function runEffect(daemon: Daemon, effect: Effect): void {
    if (effect.kind === "append") append(daemon, effect.records);
    if (effect.kind === "send") sendToService(daemon, effect);
    if (effect.kind === "refuse") {
      respond(effect.request, effect.verdict, effect.code);
    }
    if (effect.kind === "finish") respond(effect.request, "ran", "ok");
    if (effect.kind === "replay") respond(effect.request, "ran", "replayed");
    if (effect.kind === "config_in_force") {
      if (effect.offset < daemon.offset) result.reversions += 1;
      daemon.offset = effect.offset;
    }
    if (effect.kind === "peer_send") {
      const peer = daemons.find(({ name, dead }) =>
        name === effect.peer && !dead
      );
      const message = structuredClone(effect.message);
      if (peer) {
        clock.after(
          PEER_MS + drawUpTo(PEER_MS),
          () =>
            peer.feed({ kind: "peer_received", peer: daemon.name, message }),
        );
      }
    }
  }

  function startDaemon(name: string, incarnation: number): Daemon {
    const driven = createDrivenCore(clock, {
      name,
      seed: hashText(`${options.seed}/${name}/${incarnation}`),
      zone: "z",
      incarnation: `i${incarnation}`,
      onEffect: (effect) => runEffect(daemon, effect),
      onTimer: () => daemon.feed({ kind: "tick" }),
    });
    const daemon: Daemon = {
      name,
      state: driven.state,
      dead: false,
      cutFromLog: false,
      incarnation,
      offset: -1,
      feed(event) {
        if (!daemon.dead) driven.feed(event);
      },
    };
    connectPeers(daemon);
    daemons.push(daemon);
    pollLog(daemon);
    reportStatuses(daemon);
    return daemon;
  }

  function connectPeers(daemon: Daemon): void {
    for (const peer of daemons) {
      if (peer.dead || peer.name === daemon.name) continue;
      const event = ({ name, state }: Daemon) =>
        peerJoinedEvent(name, state.node.incarnation);
      peer.feed(event(daemon));
      daemon.feed(event(peer));
    }
  }

  function reportStatuses(daemon: Daemon): void {
    if (daemon.dead) return;
    for (
      const [vm, address] of [["vm-a", "http://10.0.0.1:80"], [
        "vm-b",
        "http://10.0.0.2:80",
      ]] as const
    ) {
      daemon.feed({
        kind: "member_reported",
        address,
        status: { vm, incarnation: vm, state: "ready" },
      });
    }
    clock.after(500, () => reportStatuses(daemon));
  }

  function liveDaemons(): Daemon[] {
    return daemons.filter(({ dead }) => !dead);
  }

  function killDaemon(): void {
    const candidates = liveDaemons();
    const victim = candidates[nextIndex(random, candidates.length)];
    if (victim === undefined) return;
    victim.dead = true;
    for (const peer of liveDaemons()) {
      peer.feed({
        kind: "peer_lost",
        peer: victim.name,
        incarnation: victim.state.node.incarnation,
      });
    }
    clock.after(
      500 + drawUpTo(3_000),
      () => startDaemon(victim.name, victim.incarnation + 1),
    );
  }

  function startLogOutage(): void {
    logIsUp = false;
    clock.after(1_000 + drawUpTo(6_000), () => logIsUp = true);
  }

  function disconnectFromLog(): void {
    const candidates = liveDaemons();
    const victim = candidates[nextIndex(random, candidates.length)];
    if (victim === undefined) return;
    victim.cutFromLog = true;
    clock.after(1_000 + drawUpTo(8_000), () => victim.cutFromLog = false);
  }

  function sendBooking(index: number): void {
    const candidates = liveDaemons();
    const daemon = candidates[nextIndex(random, candidates.length)];
    if (daemon === undefined) return;
    const request = `b${index}`;
    const key = chance(0.8) ? `k${nextIndex(random, options.keys)}` : undefined;
    keys.set(request, key);
    daemon.feed({
      kind: "request_arrived",
      request,
      deployment: "lending",
      principal: PRINCIPAL,
      rank: "standard",
      deadlineMs: 5_000 + Math.floor(drawUpTo(10_000)),
      promptTokens: 0,
      maxOutputTokens: 0,
      prefixes: [],
      idempotent: false,
      digest: "d",
      ...(key !== undefined && { key }),
    });
  }

  function publishConfig(index: number): void {
    const newestOffset = liveDaemons().reduce(
      (newest, { state }) => Math.max(newest, state.config?.offset ?? 0),
      0,
    );
    const basedOn = chance(0.7)
      ? newestOffset
      : Math.floor(drawUpTo(newestOffset + 1));
    const body = {
      type: "config" as const,
      basedOn,
      document: createDocument(index),
      author: "operator",
    };
    if (logIsUp) store([{ ...body, id: `operator/${index}`, level: 1 }]);
  }

  store([{
    type: "config",
    basedOn: 0,
    document: createDocument(0),
    author: "operator",
    id: "first",
    level: 1,
  }]);
  for (let index = 0; index < options.entries; index++) {
    startDaemon(`entry-${index}`, 1);
  }
  for (let index = 0; index < options.bookings; index++) {
    clock.at(500 + drawUpTo(RUN_MS / 2), () => sendBooking(index));
  }
  for (let index = 1; index <= options.configs; index++) {
    clock.at(500 + drawUpTo(RUN_MS / 2), () => publishConfig(index));
  }
  const faultActions = [killDaemon, startLogOutage, disconnectFromLog];
  for (let index = 0; index < options.faults; index++) {
    const injectFault =
      faultActions[nextIndex(random, faultActions.length)] as () => void;
    clock.at(500 + drawUpTo(RUN_MS / 2), injectFault);
  }
  clock.runUntil(RUN_MS);
  result.differentFolds = countDivergentOffsets(liveDaemons());
  return result;
}

function countDivergentOffsets(daemons: readonly Daemon[]): number {
  const byOffset = new Map<number, Set<string>>();
  for (const { state: { fold } } of daemons) {
    const texts = byOffset.get(fold.next) ?? new Set<string>();
    texts.add(
      JSON.stringify([fold.config?.offset, [...fold.leases], [...fold.claims], [
        ...fold.groups,
      ], [...fold.vms]]),
    );
    byOffset.set(fold.next, texts);
  }
  return [...byOffset.values()].filter((texts) => texts.size > 1).length;
}

/** Violations found in one schedule; the bench prints these names in its figures. */
export interface ScheduleViolations {
  /** Bookings that the service ran more than once. */
  runTwice: number;
  /** Responses that report `not_run` for a request that ran. */
  falselyNotRun: number;
  /** Requests with more than one response. */
  untold: number;
  reversions: number;
  differentFolds: number;
}

/** Counts the violations in the result of a schedule. */
export function checkSchedule(
  { runs, ranRequests, responses, reversions, differentFolds }: ScheduleResult,
): ScheduleViolations {
  const responseCounts = new Map<string, number>();
  for (const { request } of responses) {
    responseCounts.set(request, (responseCounts.get(request) ?? 0) + 1);
  }
  return {
    runTwice: [...runs.values()].filter((count) => count > 1).length,
    falselyNotRun:
      responses.filter(({ request, verdict }) =>
        verdict === "not_run" && ranRequests.has(request)
      ).length,
    untold: [...responseCounts.values()].filter((count) => count > 1).length,
    reversions,
    differentFolds,
  };
}
