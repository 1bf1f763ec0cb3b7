/**
 * Benches of a network partition between two sets of entries for an hour, and of configuration changes while one
 * entry can't read the log.
 *
 * @module
 */
import type { Bench } from "../figure.ts";
import { createMesh, type MeshEntry } from "./mesh.ts";

const ENTRIES = 9;
const GROUPS = 5;
const LEFT_ENTRIES = 5;
const PARTITION_AT_MS = 20_000;
const HOUR_MS = 3_600_000;
const HEAL_AT_MS = PARTITION_AT_MS + HOUR_MS;
const CONFIG_EVERY_MS = 60_000;
const MAX_CONVERGENCE_MS = 30_000;
/** Twice the bound of `peer_bytes_per_s`. */
const MAX_BYTES_PER_SECOND = 22_000;
const P99 = 0.99;

function offsetsOf(entries: readonly MeshEntry[]): number[] {
  return entries.map(({ state }) => state.config?.offset ?? -1);
}

const regionCut: Bench = {
  name: "region_cut_1h",
  run() {
    let isPartitioned = false;
    const leftNames = new Set<string>();
    const mesh = createMesh({
      entries: ENTRIES,
      groups: GROUPS,
      seed: 9,
      requestsPerSecond: 1,
      logReaders: LEFT_ENTRIES,
      canReach: (from, to) =>
        !isPartitioned || leftNames.has(from) === leftNames.has(to),
    });
    const left = mesh.entries.slice(0, LEFT_ENTRIES);
    const right = mesh.entries.slice(LEFT_ENTRIES);
    for (const { name } of left) leftNames.add(name);
    mesh.clock.runUntil(PARTITION_AT_MS);
    isPartitioned = true;
    mesh.setPartition(left, right, true);
    let reversions = 0;
    let unready = 0;
    let previousOffsets = offsetsOf(mesh.entries);
    const sample = () => {
      const offsets = offsetsOf(mesh.entries);
      reversions +=
        offsets.filter((offset, index) =>
          offset < (previousOffsets[index] ?? -1)
        ).length;
      unready += mesh.entries.filter(({ state }) => !state.ready).length;
      previousOffsets = offsets;
    };
    for (let at = PARTITION_AT_MS; at < HEAL_AT_MS; at += CONFIG_EVERY_MS) {
      mesh.clock.runUntil(at);
      mesh.publish(left[0]?.state.config?.offset ?? 0);
      sample();
    }
    mesh.clock.runUntil(HEAL_AT_MS);
    const offsetsBehind = Math.max(...offsetsOf(left)) -
      Math.max(...offsetsOf(right));
    isPartitioned = false;
    mesh.setPartition(left, right, false);
    for (const entry of mesh.entries) entry.bytes = 0;
    let convergedMs = Infinity;
    for (
      let at = HEAL_AT_MS;
      at <= HEAL_AT_MS + MAX_CONVERGENCE_MS;
      at += 100
    ) {
      mesh.clock.runUntil(at);
      sample();
      const hasOneOffset = new Set(offsetsOf(mesh.entries)).size === 1;
      const isFullyConnected = mesh.entries.every(({ state }) =>
        state.peers.size === ENTRIES - 1
      );
      if (hasOneOffset && isFullyConnected) {
        convergedMs = Math.min(convergedMs, at - HEAL_AT_MS);
      }
    }
    const bytes = Math.max(...mesh.entries.map((entry) => entry.bytes)) /
      (MAX_CONVERGENCE_MS / 1_000);
    return [
      {
        name: "region_cut_1h.offsets_behind_at_rejoin",
        value: offsetsBehind,
        unit: "records",
        atLeast: 1,
      },
      {
        name: "region_cut_1h.unready",
        value: unready,
        unit: "times seen",
        atMost: 0,
      },
      {
        name: "region_cut_1h.reversions",
        value: reversions,
        unit: "count",
        atMost: 0,
      },
      {
        name: "region_cut_1h.converged",
        value: convergedMs,
        unit: "ms",
        atMost: MAX_CONVERGENCE_MS,
      },
      {
        name: "region_cut_1h.bytes_per_s",
        value: bytes,
        unit: "bytes/s",
        atMost: MAX_BYTES_PER_SECOND,
      },
    ];
  },
};

const CHANGES = 100;
const CHANGE_EVERY_MS = 5_000;

const configInForce: Bench = {
  name: "config_in_force_ms",
  run() {
    const mesh = createMesh({
      entries: ENTRIES,
      groups: GROUPS,
      seed: 10,
      requestsPerSecond: 2,
      logReaders: ENTRIES - 1,
    });
    const times: number[] = [];
    for (let change = 0; change < CHANGES; change++) {
      const at = 10_000 + change * CHANGE_EVERY_MS;
      mesh.clock.runUntil(at);
      const offset = mesh.publish(mesh.entries[0]?.state.config?.offset ?? 0);
      mesh.clock.runUntil(at + CHANGE_EVERY_MS - 1);
      times.push(
        Math.max(
          ...mesh.entries.map(({ inForceAt }) =>
            (inForceAt.get(offset) ?? Infinity) - at
          ),
        ),
      );
    }
    const sorted = times.toSorted((left, right) => left - right);
    const p99 = sorted[Math.floor(sorted.length * P99)] ?? Infinity;
    return [{
      name: "config_in_force_ms",
      value: p99,
      unit: "ms",
      atMost: 5_000,
    }];
  },
};

/** Benches of partitions between entries, and of an entry that is disconnected from the log. */
export const PARTITION_BENCHES: readonly Bench[] = [configInForce, regionCut];
