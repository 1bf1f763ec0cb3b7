/**
 * Measures the cost of control work at an entry, and how fast deaths and configuration changes spread.
 *
 * @module
 */
import {
  createState,
  dumpFold,
  type LogRecord,
  reduce,
} from "@primroseshed/core";
import { createDocument } from "../fleet/document.ts";
import process from "node:process";
import type { Bench, Figure } from "../figure.ts";
import { createMesh, type Mesh, type MeshOptions } from "./mesh.ts";

const MESH_SIZES = [3, 9, 27] as const;
const CURRENT_ENTRIES = 9;
const GROUPS = 30;
const WARM_UP_MS = 10_000;
const RUN_MS = 70_000;
const MEASURED_SECONDS = (RUN_MS - WARM_UP_MS) / 1_000;
/** Interval of configuration changes at 9,200 a day, ms. */
const CONFIG_EVERY_MS = 86_400_000 / 9_200;
const REQUESTS_PER_SECOND = 20;
const MAX_BYTES_PER_SECOND = 11_000;
const MAX_CPU_SHARE = 0.046;

function runLoaded(entries: number, extra: Partial<MeshOptions> = {}): Mesh {
  const mesh = createMesh({
    entries,
    groups: GROUPS,
    seed: 5,
    requestsPerSecond: REQUESTS_PER_SECOND,
    ...extra,
  });
  mesh.clock.runUntil(WARM_UP_MS);
  for (const entry of mesh.entries) {
    entry.bytes = 0;
    entry.controlMs = 0;
  }
  for (let at = WARM_UP_MS; at < RUN_MS; at += CONFIG_EVERY_MS) {
    mesh.clock.at(
      at,
      () => mesh.publish(mesh.entries[0]?.state.config?.offset ?? 0),
    );
  }
  mesh.clock.runUntil(RUN_MS);
  return mesh;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

const peerBytes: Bench = {
  name: "peer_bytes_per_s",
  run: () =>
    MESH_SIZES.map((size): Figure => ({
      name: `peer_bytes_per_s.${size}_entries`,
      value: mean(runLoaded(size).entries.map(({ bytes }) => bytes)) /
        MEASURED_SECONDS,
      unit: "bytes/s",
      ...(size === CURRENT_ENTRIES && { atMost: MAX_BYTES_PER_SECOND }),
    })),
};

const controlCpu: Bench = {
  name: "control_cpu_share",
  run: () =>
    MESH_SIZES.map((size): Figure => ({
      name: `control_cpu_share.${size}_entries`,
      value: mean(runLoaded(size).entries.map(({ controlMs }) => controlMs)) /
        1_000 / MEASURED_SECONDS,
      unit: "share of a core",
      ...(size === CURRENT_ENTRIES && { atMost: MAX_CPU_SHARE }),
    })),
};

const KILL_AT_MS = 20_000;

const deathKnown: Bench = {
  name: "death_known_ms",
  run() {
    const mesh = createMesh({
      entries: CURRENT_ENTRIES,
      groups: GROUPS,
      seed: 6,
      requestsPerSecond: 5,
    });
    mesh.clock.runUntil(KILL_AT_MS);
    const [victim, ...survivors] = mesh.entries;
    if (victim === undefined) return [];
    mesh.kill(victim);
    let knownAt = Infinity;
    for (
      let at = KILL_AT_MS;
      at < KILL_AT_MS + 20_000 && knownAt === Infinity;
      at += 50
    ) {
      mesh.clock.runUntil(at);
      if (survivors.every(({ state }) => !state.peers.has(victim.name))) {
        knownAt = at;
      }
    }
    return [{
      name: "death_known_ms",
      value: knownAt - KILL_AT_MS,
      unit: "ms",
      atMost: 5_000,
    }];
  },
};

const FRAME_LOSS_SHARE = 0.05;

const falseDeaths: Bench = {
  name: "false_deaths",
  run() {
    // One link is down in one direction for the whole run, and 5% of all other frames are lost.
    const canReach = (from: string, to: string) =>
      !(from === "entry-000" && to === "entry-001");
    const mesh = createMesh({
      entries: CURRENT_ENTRIES,
      groups: GROUPS,
      seed: 7,
      requestsPerSecond: 5,
      loss: FRAME_LOSS_SHARE,
      canReach,
    });
    let removals = 0;
    for (let at = 5_000; at < 120_000; at += 250) {
      mesh.clock.runUntil(at);
      for (const { state } of mesh.entries) {
        removals += CURRENT_ENTRIES - 1 - state.peers.size;
      }
    }
    return [{
      name: "false_deaths",
      value: removals,
      unit: "removals seen",
      atMost: 0,
    }];
  },
};

const LOG_READERS = 2;

const configSpread: Bench = {
  name: "config_spread_ms",
  run() {
    const mesh = createMesh({
      entries: CURRENT_ENTRIES,
      groups: GROUPS,
      seed: 8,
      requestsPerSecond: 5,
      logReaders: LOG_READERS,
    });
    const spreads: number[] = [];
    for (let change = 0; change < 20; change++) {
      const at = 10_000 + change * CONFIG_EVERY_MS;
      mesh.clock.runUntil(at);
      const offset = mesh.publish(mesh.entries[0]?.state.config?.offset ?? 0);
      mesh.clock.runUntil(at + CONFIG_EVERY_MS - 1);
      spreads.push(
        Math.max(
          ...mesh.entries.map(({ inForceAt }) =>
            (inForceAt.get(offset) ?? Infinity) - at
          ),
        ),
      );
    }
    return [{
      name: "config_spread_ms",
      value: Math.max(...spreads),
      unit: "ms",
      atMost: 5_000,
    }];
  },
};

const RUNNER_SIZES = [60, 600, 3_100] as const;
const VMS_PER_GROUP = 8;
const MAX_HEAP_MB = 256;
const BYTES_PER_MB = 1024 * 1024;
/** Number of claims kept at the target load: two hours at 40 bookings with an idempotency key per second. */
const TARGET_CLAIMS = 2 * 3_600 * 40;

function createLoadedState(runners: number, claims: number) {
  const state = createState({
    name: "e",
    zone: "z",
    site: "z",
    incarnation: "1",
    balancerLagMs: 0,
  }, { seed: 1, now: 0 });
  const groups = Math.floor(runners / VMS_PER_GROUP);
  const document = createDocument({ groups });
  const base = document.base as {
    deployments: { assistant: { vmsPerReplica: number } };
  };
  base.deployments.assistant.vmsPerReplica = VMS_PER_GROUP;
  const records: LogRecord[] = [{
    type: "config",
    basedOn: 0,
    document,
    author: "b",
    id: "c",
    level: 1,
  }];
  for (let index = 0; index < groups; index++) {
    const group = `assistant-${index}`;
    const members = Array.from({ length: VMS_PER_GROUP }, (_, member) => ({
      vm: `${group}-vm-${member}`,
      address: `http://10.${index >> 8}.${index & 255}.${member}:8000`,
      zone: "suva-a",
      domain: `fabric-${index >> 3}`,
    }));
    records.push({
      type: "group_form",
      group,
      deployment: "assistant",
      members,
      fence: "operator",
      id: group,
      level: 1,
    });
  }
  for (let index = 0; index < claims; index++) {
    const key = `tavua/team-${index % 10}/app/lending/key-${index}`;
    records.push({
      type: "claim",
      key,
      digest: "d".repeat(64),
      entry: "entry-1#12345678",
      id: `entry-1/12345678/${index}`,
      level: 1,
    });
  }
  const stored = records.map((record, index) => ({
    offset: index + 1,
    at: 0,
    record,
  }));
  reduce(state, {
    kind: "log_read",
    records: stored,
    head: stored.length,
    horizon: 1,
    at: 0,
  });
  return state;
}

function heapUsed(): number {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_MB;
}

function measureHeap(
  runners: number,
  claims: number,
): { heapMb: number; state: ReturnType<typeof createLoadedState> } {
  const before = heapUsed();
  const state = createLoadedState(runners, claims);
  return { heapMb: heapUsed() - before, state };
}

const controlHeap: Bench = {
  name: "control_heap_mb",
  run() {
    const figures = RUNNER_SIZES.map((runners): Figure => {
      const { heapMb, state } = measureHeap(runners, 0);
      const targetCount = state.targets.size;
      return {
        name: `control_heap_mb.${runners}_runners`,
        value: targetCount > 0 ? heapMb : NaN,
        unit: "MB",
      };
    });
    const { heapMb, state } = measureHeap(RUNNER_SIZES[2], TARGET_CLAIMS);
    const dumpBytes = JSON.stringify(dumpFold(state.fold)).length;
    return [
      ...figures,
      {
        name: "control_heap_mb.target",
        value: heapMb,
        unit: "MB",
        atMost: MAX_HEAP_MB,
      },
      {
        name: "control_heap_mb.snapshot",
        value: dumpBytes / BYTES_PER_MB,
        unit: "MB",
      },
    ];
  },
};

/** Benches of the cost and speed of control work. */
export const CONTROL_BENCHES: readonly Bench[] = [
  peerBytes,
  controlCpu,
  controlHeap,
  deathKnown,
  falseDeaths,
  configSpread,
];
