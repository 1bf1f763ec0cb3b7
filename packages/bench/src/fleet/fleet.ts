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
import { createDrivenCore, joinedEvent } from "./driven_core.ts";
import { createEngine, type Engine } from "./engine.ts";
import type { Offer } from "./load.ts";
import { createRecords, noteToken, type Records } from "./record.ts";

/** An entry that receives requests and sends them to engines. */
export interface Entry {
  name: string;
  dead: boolean;
  offer(offer: Offer): void;
}

/** Size and faults of a simulation. */
export interface FleetOptions {
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
  failsSend?(group: string, now: number): boolean;
}

/** A running simulation. */
export interface Fleet {
  clock: Clock;
  engines: Engine[];
  records: Records;
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
const REPORT_EVERY_MS = 250;
const MEMBERS = 2;
const DEPLOYMENT = "assistant";

/** Returns the name of a group by its index. */
export function groupName(index: number): string {
  return `group-${index}`;
}

function membersOf(group: string) {
  return Array.from({ length: MEMBERS }, (_, index) => ({
    vm: `${group}-vm${index}`,
    address: `http://${group}:${index + 1}`,
    zone: "suva-a",
    domain: `${group}-fabric`,
  }));
}

function startRecords(options: FleetOptions): StoredRecord[] {
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
export function createFleet(
  offers: readonly Offer[],
  options: FleetOptions,
): Fleet {
  const clock = createClock();
  const records = createRecords(offers);
  const engines = Array.from(
    { length: options.groups },
    (_, index) => createEngine(groupName(index), clock),
  );
  const byName = new Map(engines.map((engine) => [engine.name, engine]));
  const log = startRecords(options);
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

  function tellCores(event: EventBody, lagMs: number): void {
    for (const core of cores) {
      clock.after(lagMs, () => core.dead || core.feed(event));
    }
  }

  function reportEngine(engine: Engine): void {
    membersOf(engine.name).forEach(({ address, vm }, index) => {
      if (engine.dead) {
        tellCores(
          { kind: "member_unreachable", address, vm, cause: "refused" },
          PEER_MS,
        );
      } else {
        const status = statusOf(engine, index);
        const { load, ...presence } = status;
        tellCores(
          { kind: "member_reported", address, status: presence },
          PEER_MS,
        );
        if (load !== undefined) {
          tellCores(
            { kind: "member_reported", address, status },
            PEER_MS + (options.reportLagMs ?? 0),
          );
        }
      }
    });
    clock.after(REPORT_EVERY_MS, () => reportEngine(engine));
  }

  const random = createRandom(options.seed);
  function feedCache(engine: Engine, sequence: number): void {
    const changes = engine.takeCacheChanges();
    const isLost = nextFloat(random) < (options.cacheLoss ?? 0);
    const lagMs = options.perfectCache
      ? PEER_MS
      : options.cacheLagMs ?? PEER_MS;
    if (changes.length > 0 && !isLost) {
      tellCores({
        kind: "cache_changed",
        target: engine.name,
        sequence,
        changes,
      }, lagMs);
    }
    clock.after(
      options.perfectCache ? 10 : REPORT_EVERY_MS,
      () => feedCache(engine, sequence + (changes.length > 0 ? 1 : 0)),
    );
  }

  function appendToLog(core: Core, appended: readonly LogRecord[]): void {
    clock.after(LOG_MS, () => {
      const from = log.length;
      for (const record of appended) {
        log.push({ offset: log.length + 1, at: clock.now, record });
      }
      core.feed({
        kind: "append_settled",
        ids: appended.map(({ id }) => id),
        stored: true,
      });
      tellCores({
        kind: "log_read",
        records: log.slice(from),
        head: log.length,
        horizon: 1,
      }, PEER_MS);
    });
  }

  function send(
    core: Core,
    { request: id, attempt, target, resumeFrom, rank, light }: Extract<
      Effect,
      { kind: "send" }
    >,
  ): void {
    const fate = records.fates.get(id);
    const engine = byName.get(target);
    if (fate === undefined || engine === undefined) return;
    records.sends.push({ at: clock.now, first: fate.sends === 0 });
    fate.sends += 1;
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
    if (options.failsSend?.(target, clock.now)) return end("reset_before_send");
    const { promptTokens, outputTokens, prefixes } = fate.offer;
    const job = {
      id: `${id}/${attempt}`,
      rank,
      light,
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
          noteToken(records, fate, clock.now);
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

  function carryOut(core: Core, effect: Effect): void {
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
        const fate = records.fates.get(effect.request);
        if (fate === undefined) return;
        fate.outcomes.push(effect.kind === "finish" ? "ok" : effect.code);
        fate.verdict = effect.kind === "finish" ? "ran" : effect.verdict;
        fate.endedAt = clock.now;
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
      carryOut: (effect) => carryOut(core, effect),
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
      offer(offer) {
        const arrival: Arrival = {
          request: offer.id,
          deployment: DEPLOYMENT,
          principal: offer.principal,
          rank: offer.rank,
          promptTokens: offer.promptTokens,
          maxOutputTokens: 4_096,
          prefixes: options.ignoresPrefixes ? [] : offer.prefixes,
          idempotent: true,
        };
        core.feed({ kind: "request_arrived", ...arrival });
      },
    };
    for (const peer of cores) {
      if (peer.dead) continue;
      peer.feed(joinedEvent(core.name));
      core.feed(joinedEvent(peer.name));
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
    feedCache(engine, 1);
  }
  return {
    clock,
    engines,
    records,
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
      for (const offer of offers) {
        clock.at(offer.at, () => {
          const alive = cores.filter(({ dead }) => !dead);
          const core = cores[offer.entry]?.dead === false
            ? cores[offer.entry]
            : alive[offer.entry % alive.length];
          core?.offer(offer);
        });
      }
      clock.runUntil(untilMs);
    },
  };
}
