/**
 * Simulates several real cores that route requests to fake engines, in virtual time.
 *
 * @module
 */
import {
  type Arrival,
  type ConfigDocument,
  createRandom,
  type Effect,
  type EventBody,
  type LogRecord,
  type MemberStatus,
  nextFloat,
  type State,
  type StoredRecord,
} from "@primroseshed/core";
import { type Clock, createClock } from "./clock.ts";
import { createDrivenCore, peerJoinedEvent } from "./driven_core.ts";
import { createEngine, type Engine } from "./engine.ts";
import type { OfferedRequest } from "./load.ts";
import { createRunResults, recordToken, type RunResults } from "./results.ts";

/** An entry that receives requests and sends them to engines. */
export interface Entry {
  name: string;
  dead: boolean;
  submit(request: OfferedRequest): void;
}

/** Size and faults of a simulation. */
export interface FleetSimulationOptions {
  seed: number;
  entries: number;
  groups: number;
  document: ConfigDocument;
  /** Delay of an engine's load reports, ms. */
  reportLagMs?: number;
  /** Share of cache update messages that are lost. */
  cacheLoss?: number;
  /** Delay of cache updates, ms. */
  cacheLagMs?: number;
  /** Whether entries learn of cache changes every 10 ms without further delay; `cacheLagMs` is then ignored. */
  perfectCache?: boolean;
  /** Whether prefixes are hidden from routing. */
  ignoresPrefixes?: boolean;
  /** Returns whether an attempt fails before it reaches the engine. */
  isFailing?(group: string, now: number): boolean;
}

/** A running simulation. */
export interface FleetSimulation {
  clock: Clock;
  engines: Engine[];
  results: RunResults;
  cores: Core[];
  /** Runs all offered requests and stops at `untilMs`. */
  run(untilMs: number): void;
  addEntry(): Core;
  killEntry(core: Core): void;
}

/** An entry with a real core. */
export interface Core extends Entry {
  state: State;
  feed(event: EventBody): void;
  /** Number of events fed to the core. */
  steps: number;
}

/** Latency of a call to an engine, ms. */
const CALL_MS = 0.5;
/** Latency of messages between entries and of status reports, ms. */
const PEER_MS = 1;
/** Latency of an append to the log, ms. */
const LOG_MS = 20;
const REPORT_INTERVAL_MS = 250;
const MEMBERS_PER_GROUP = 2;
const DEPLOYMENT = "assistant";

/** Returns the name of a group by its index. */
export function groupName(index: number): string {
  return `group-${index}`;
}

function membersOf(group: string) {
  return Array.from({ length: MEMBERS_PER_GROUP }, (_, index) => ({
    vm: `${group}-vm${index}`,
    address: `http://${group}:${index + 1}`,
    zone: "suva-a",
    domain: `${group}-fabric`,
  }));
}

function createInitialRecords(options: FleetSimulationOptions): StoredRecord[] {
  const records: LogRecord[] = [
    {
      type: "config",
      basedOn: 0,
      document: options.document,
      author: "bench",
      id: "config",
      level: 1,
    },
  ];
  for (let index = 0; index < options.groups; index++) {
    const group = groupName(index);
    const members = membersOf(group);
    records.push({
      type: "group_form",
      group,
      deployment: DEPLOYMENT,
      members,
      fence: "operator",
      id: group,
      level: 1,
    });
  }
  return records.map((record, index) => ({ offset: index + 1, at: 0, record }));
}

/** Creates a simulation for a list of offered requests. */
export function createFleetSimulation(
  requests: readonly OfferedRequest[],
  options: FleetSimulationOptions,
): FleetSimulation {
  const clock = createClock();
  const results = createRunResults(requests);
  const engines = Array.from(
    { length: options.groups },
    (_, index) => createEngine(groupName(index), clock),
  );
  const byName = new Map(engines.map((engine) => [engine.name, engine]));
  const log = createInitialRecords(options);
  const epochs = new Map(engines.map(({ name }, index) => [name, index + 2]));
  const cores: Core[] = [];

  function statusOf(engine: Engine, index: number): MemberStatus {
    const vm = `${engine.name}-vm${index}`;
    const epoch = epochs.get(engine.name) ?? 0;
    const load = index === 0 ? { load: engine.report() } : {};
    return {
      vm,
      incarnation: vm,
      state: "ready",
      group: engine.name,
      epoch,
      ...load,
    };
  }

  function sendToCores(event: EventBody, lagMs: number): void {
    for (const core of cores) {
      clock.after(lagMs, () => core.dead || core.feed(event));
    }
  }

  function reportEngine(engine: Engine): void {
    membersOf(engine.name).forEach(({ address, vm }, index) => {
      if (engine.dead) {
        sendToCores(
          { kind: "member_unreachable", address, vm, cause: "refused" },
          PEER_MS,
        );
      } else {
        const status = statusOf(engine, index);
        const { load, ...presence } = status;
        sendToCores(
          { kind: "member_reported", address, status: presence },
          PEER_MS,
        );
        if (load !== undefined) {
          sendToCores(
            { kind: "member_reported", address, status },
            PEER_MS + (options.reportLagMs ?? 0),
          );
        }
      }
    });
    clock.after(REPORT_INTERVAL_MS, () => reportEngine(engine));
  }

  const random = createRandom(options.seed);
  function reportCacheChanges(engine: Engine, sequence: number): void {
    const changes = engine.drainCacheChanges();
    const isLost = nextFloat(random) < (options.cacheLoss ?? 0);
    const lagMs = options.perfectCache
      ? PEER_MS
      : options.cacheLagMs ?? PEER_MS;
    if (changes.length > 0 && !isLost) {
      sendToCores({
        kind: "cache_changed",
        target: engine.name,
        sequence,
        changes,
      }, lagMs);
    }
    clock.after(
      options.perfectCache ? 10 : REPORT_INTERVAL_MS,
      () => reportCacheChanges(engine, sequence + (changes.length > 0 ? 1 : 0)),
    );
  }

  function appendToLog(core: Core, appended: readonly LogRecord[]): void {
    clock.after(LOG_MS, () => {
      const from = log.length;
      for (const record of appended) {
        log.push({ offset: log.length + 1, at: clock.now, record });
      }
      core.feed({
        kind: "append_completed",
        ids: appended.map(({ id }) => id),
        stored: true,
      });
      sendToCores({
        kind: "log_read",
        records: log.slice(from),
        head: log.length,
        horizon: 1,
      }, PEER_MS);
    });
  }

  function send(
    core: Core,
    { request: id, attempt, target, resumeFrom, rank, lowUsage }: Extract<
      Effect,
      { kind: "send" }
    >,
  ): void {
    const requestOutcome = results.outcomes.get(id);
    const engine = byName.get(target);
    if (requestOutcome === undefined || engine === undefined) return;
    results.attempts.push({
      at: clock.now,
      isFirst: requestOutcome.attempts === 0,
    });
    requestOutcome.attempts += 1;
    const end = (
      outcome:
        | "completed"
        | "reset_after_send"
        | "status_not_run"
        | "reset_before_send",
    ) =>
      clock.after(
        CALL_MS,
        () =>
          core.dead ||
          core.feed({ kind: "attempt_ended", request: id, attempt, outcome }),
      );
    if (options.isFailing?.(target, clock.now)) return end("reset_before_send");
    const { promptTokens, outputTokens, prefixes } = requestOutcome.request;
    const job = {
      id: `${id}/${attempt}`,
      rank,
      lowUsage,
      promptTokens,
      outputTokens,
      prefixes,
      resumeFrom,
      onEnd: end,
      onToken: () =>
        clock.after(CALL_MS, () => {
          const request = core.state.requests.get(id);
          if (
            core.dead || request?.attempt !== attempt ||
            request.phase !== "running"
          ) return;
          recordToken(results, requestOutcome, clock.now);
          core.feed({
            kind: "attempt_progress",
            request: id,
            attempt,
            tokens: 1,
          });
        }),
    };
    clock.after(CALL_MS, () => engine.submit(job));
  }

  function runEffect(core: Core, effect: Effect): void {
    switch (effect.kind) {
      case "send":
        return send(core, effect);
      case "cancel": {
        const id = `${effect.request}/${effect.attempt}`;
        return clock.after(
          CALL_MS,
          () => engines.forEach((engine) => engine.cancel(id)),
        );
      }
      case "refuse":
      case "finish": {
        const requestOutcome = results.outcomes.get(effect.request);
        if (requestOutcome === undefined) return;
        requestOutcome.responseCodes.push(
          effect.kind === "finish" ? "ok" : effect.code,
        );
        requestOutcome.verdict = effect.kind === "finish"
          ? "ran"
          : effect.verdict;
        requestOutcome.endedAt = clock.now;
        return;
      }
      case "append":
        return appendToLog(core, effect.records);
      case "peer_send": {
        const peer = cores.find(({ name }) => name === effect.peer);
        if (peer === undefined) return;
        return clock.after(PEER_MS, () => {
          if (!peer.dead && !core.dead) {
            peer.feed({
              kind: "peer_received",
              peer: core.name,
              message: effect.message,
            });
          }
        });
      }
    }
  }

  function createCore(): Core {
    const index = cores.length;
    const name = `entry-${index}`;
    const driven = createDrivenCore(clock, {
      name,
      seed: options.seed + index,
      onEffect: (effect) => runEffect(core, effect),
      onTimer: () => core.feed({ kind: "tick" }),
    });
    const core: Core = {
      name,
      dead: false,
      state: driven.state,
      steps: 0,
      feed(event) {
        if (core.dead) return;
        core.steps += 1;
        driven.feed(event);
      },
      submit(request) {
        const arrival: Arrival = {
          request: request.id,
          deployment: DEPLOYMENT,
          principal: request.principal,
          rank: request.rank,
          promptTokens: request.promptTokens,
          maxOutputTokens: 4_096,
          prefixes: options.ignoresPrefixes ? [] : request.prefixes,
          idempotent: true,
        };
        core.feed({ kind: "request_arrived", ...arrival });
      },
    };
    for (const peer of cores) {
      if (peer.dead) continue;
      peer.feed(peerJoinedEvent(core.name));
      core.feed(peerJoinedEvent(peer.name));
    }
    cores.push(core);
    core.feed({
      kind: "log_read",
      records: log.slice(),
      head: log.length,
      horizon: 1,
    });
    return core;
  }

  for (let count = 0; count < options.entries; count++) createCore();
  for (const engine of engines) {
    reportEngine(engine);
    reportCacheChanges(engine, 1);
  }
  return {
    clock,
    engines,
    results,
    cores,
    addEntry: createCore,
    killEntry(core) {
      core.dead = true;
      for (const peer of cores) {
        if (!peer.dead) {
          clock.after(PEER_MS, () =>
            peer.feed({
              kind: "peer_lost",
              peer: core.name,
              incarnation: "1",
            }));
        }
      }
    },
    run(untilMs) {
      for (const request of requests) {
        clock.at(request.at, () => {
          const alive = cores.filter(({ dead }) => !dead);
          const core = cores[request.entry]?.dead === false
            ? cores[request.entry]
            : alive[request.entry % alive.length];
          core?.submit(request);
        });
      }
      clock.runUntil(untilMs);
    },
  };
}
