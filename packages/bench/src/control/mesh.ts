/**
 * Simulates several real cores that exchange encoded frames in virtual time, to measure the cost of control work and
 * how fast state spreads.
 *
 * @module
 */
import {
  createRandom,
  createState,
  type EventBody,
  type LogRecord,
  nextFloat,
  nextTimerAt,
  reduce,
  type State,
  type StoredRecord,
} from "@primroseshed/core";
import { Packr } from "msgpackr";
import { type Clock, createClock } from "../fleet/clock.ts";
import { createDocument, principalOf, TEAMS } from "../fleet/document.ts";

/** One entry of the mesh. */
export interface MeshEntry {
  name: string;
  state: State;
  dead: boolean;
  readsLog: boolean;
  /** Bytes of frames sent and received. */
  bytes: number;
  /** Time spent in control steps, ms of wall time. */
  controlMs: number;
  feed(event: EventBody, kind?: "control" | "request"): void;
  /** Time at which the configuration of each offset came into force, ms. */
  inForceAt: Map<number, number>;
}

/** Options of {@link createMesh}. */
export interface MeshOptions {
  entries: number;
  groups: number;
  seed: number;
  /** Requests per second at each entry, so that the needs and demands in the digests change. */
  requestsPerSecond: number;
  /** Number of entries that read the log; all by default. */
  logReaders?: number;
  /** Share of frames that are lost. */
  loss?: number;
  /** Returns whether a frame from one entry reaches another. */
  canReach?(from: string, to: string): boolean;
}

/** A running mesh. */
export interface Mesh {
  clock: Clock;
  entries: MeshEntry[];
  /** Publishes a configuration and returns its offset. */
  publish(basedOn: number): number;
  kill(entry: MeshEntry): void;
  /** Breaks or restores the connections between two sets of entries. */
  setPartition(
    left: readonly MeshEntry[],
    right: readonly MeshEntry[],
    isPartitioned: boolean,
  ): void;
}

/** Latency of a frame between entries, ms. */
const PEER_MS = 1;
const REPORT_INTERVAL_MS = 500;
const LOG_POLL_MS = 200;
const REQUEST_DURATION_MS = 2_500;
const packr = new Packr({ useRecords: false });

function membersOf(group: string) {
  return [1, 2].map((index) => ({
    vm: `${group}-vm${index}`,
    address: `http://${group}:${index}`,
    zone: "z",
    domain: group,
  }));
}

/** Creates a mesh in which every entry is connected to every other. */
export function createMesh(options: MeshOptions): Mesh {
  const {
    groups,
    seed,
    requestsPerSecond,
    logReaders = options.entries,
    loss = 0,
    canReach = () => true,
  } = options;
  const clock = createClock();
  const log: StoredRecord[] = [];
  const entries: MeshEntry[] = [];
  const random = createRandom(seed);
  const draw = () => nextFloat(random);
  const store = (record: LogRecord) =>
    log.push({ offset: log.length + 1, at: clock.now, record });

  function publish(basedOn: number): number {
    const document = createDocument({ groups });
    store({
      type: "config",
      basedOn,
      document,
      author: "bench",
      id: `config-${log.length}`,
      level: 1,
    });
    return log.length;
  }

  function sendFrame(from: MeshEntry, to: MeshEntry, message: object): void {
    const frame = packr.pack(message);
    from.bytes += frame.length;
    if (to.dead || !canReach(from.name, to.name) || draw() < loss) return;
    clock.after(PEER_MS, () => {
      to.bytes += frame.length;
      to.feed({
        kind: "peer_received",
        peer: from.name,
        message: packr.unpack(frame),
      });
    });
  }

  function createEntry(index: number): MeshEntry {
    const name = `entry-${String(index).padStart(3, "0")}`;
    const node = {
      name,
      zone: "z",
      site: "z",
      incarnation: "1",
      balancerLagMs: 100,
    };
    const state = createState(node, { seed: seed + index, now: clock.now });
    let timerAt = Infinity;
    const entry: MeshEntry = {
      name,
      state,
      dead: false,
      readsLog: index < logReaders,
      bytes: 0,
      controlMs: 0,
      inForceAt: new Map(),
      feed(event, kind = "control") {
        if (entry.dead) return;
        const startedAt = performance.now();
        const effects = reduce(state, { ...event, at: clock.now });
        if (kind === "control") {
          entry.controlMs += performance.now() - startedAt;
        }
        for (const effect of effects) {
          if (effect.kind === "config_in_force") {
            entry.inForceAt.set(effect.offset, clock.now);
          }
          if (effect.kind === "append") {
            for (const record of effect.records) store(record);
          }
          const peer = effect.kind === "peer_send"
            ? entries.find(({ name }) => name === effect.peer)
            : undefined;
          if (peer !== undefined && effect.kind === "peer_send") {
            sendFrame(entry, peer, effect.message);
          }
        }
        const next = nextTimerAt(state) ?? Infinity;
        if (next >= timerAt) return;
        timerAt = next;
        clock.at(next, () => {
          timerAt = Infinity;
          entry.feed({ kind: "tick" });
        });
      },
    };
    return entry;
  }

  function readLog(entry: MeshEntry): void {
    if (entry.dead) return;
    if (entry.readsLog) {
      const from = entry.state.fold.next;
      entry.feed({
        kind: "log_read",
        records: log.slice(from - 1),
        head: log.length,
        horizon: 1,
      });
    }
    clock.after(LOG_POLL_MS * (0.5 + draw()), () => readLog(entry));
  }

  function reportStatuses(entry: MeshEntry): void {
    if (entry.dead) return;
    for (const { name, epoch, members } of entry.state.targets.values()) {
      for (const { member: { vm, address } } of members) {
        const load = {
          running: 10,
          queued: 0,
          stepMs: 20,
          prefillPerMs: 20,
          kvUsedShare: 0.2,
          maxBatch: 64,
        };
        const status = {
          vm,
          incarnation: vm,
          state: "ready" as const,
          group: name,
          epoch: epoch ?? 0,
          load,
        };
        entry.feed({ kind: "member_reported", address, status });
      }
    }
    clock.after(REPORT_INTERVAL_MS, () => reportStatuses(entry));
  }

  let count = 0;
  function offerRequests(entry: MeshEntry): void {
    if (entry.dead) return;
    count += 1;
    const request = `r${count}`;
    entry.feed({
      kind: "request_arrived",
      request,
      deployment: "assistant",
      principal: principalOf("tavua", count % TEAMS),
      rank: "standard",
      promptTokens: 300,
      maxOutputTokens: 100,
      prefixes: [],
      idempotent: true,
    }, "request");
    clock.after(
      REQUEST_DURATION_MS,
      () =>
        entry.feed({
          kind: "attempt_ended",
          request,
          attempt: 1,
          outcome: "completed",
        }, "request"),
    );
    clock.after(
      -Math.log(1 - draw()) / requestsPerSecond * 1_000,
      () => offerRequests(entry),
    );
  }

  function setPartition(
    left: readonly MeshEntry[],
    right: readonly MeshEntry[],
    isPartitioned: boolean,
  ): void {
    for (const [from, to] of [[left, right], [right, left]] as const) {
      for (const entry of from) {
        for (const { name } of to) {
          if (isPartitioned) {
            entry.feed({ kind: "peer_lost", peer: name, incarnation: "1" });
          } else {entry.feed({
              kind: "peer_joined",
              peer: name,
              address: "",
              zone: "z",
              incarnation: "1",
            });}
        }
      }
    }
  }

  publish(0);
  for (let index = 0; index < groups; index++) {
    const group = `group-${index}`;
    const members = membersOf(group);
    store({
      type: "group_form",
      group,
      deployment: "assistant",
      members,
      fence: "operator",
      id: group,
      level: 1,
    });
  }
  for (let index = 0; index < options.entries; index++) {
    const entry = createEntry(index);
    for (const peer of entries) {
      const joined = (other: MeshEntry) =>
        ({
          kind: "peer_joined",
          peer: other.name,
          address: "",
          zone: "z",
          incarnation: "1",
        }) as const;
      peer.feed(joined(entry));
      entry.feed(joined(peer));
    }
    entries.push(entry);
    entry.feed({
      kind: "log_read",
      records: log.slice(),
      head: log.length,
      horizon: 1,
    });
    reportStatuses(entry);
    readLog(entry);
    if (requestsPerSecond > 0) offerRequests(entry);
  }
  return {
    clock,
    entries,
    publish,
    setPartition,
    kill(entry) {
      entry.dead = true;
      for (const peer of entries) {
        peer.feed({ kind: "peer_lost", peer: entry.name, incarnation: "1" });
      }
    },
  };
}
