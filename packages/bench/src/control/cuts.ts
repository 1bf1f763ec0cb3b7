/**
 * Benches of a network partition between two sets of entries for an hour, and of configuration changes while one
 * entry can't read the log.
 *
 * @module
 */
import type { Bench } from "../runner/types.ts";
import { createMesh, type MeshEntry } from "./mesh.ts";

const ENTRIES = 9;
const GROUPS = 5;
const LEFT = 5;
const CUT_AT_MS = 20_000;
const HOUR_MS = 3_600_000;
const JOIN_AT_MS = CUT_AT_MS + HOUR_MS;
const CONFIG_EVERY_MS = 60_000;
const CONVERGE_MS = 30_000;
/** Twice the bound of `peer_bytes_per_s`. */
const TWICE_BUDGET_BYTES = 22_000;
const PERCENTILE = 0.99;

function offsetsOf(entries: readonly MeshEntry[]): number[] {
  return entries.map(({ state }) => state.config?.offset ?? -1);
}

const regionCut: Bench = {
  name: "region_cut_1h",
  run() {
    let isCut = false;
    const leftNames = new Set<string>();
    const mesh = createMesh({
      entries: ENTRIES,
      groups: GROUPS,
      seed: 9,
      requestsPerSecond: 1,
      logReaders: LEFT,
      passes: (from, to) => !isCut || leftNames.has(from) === leftNames.has(to),
    });
    const left = mesh.entries.slice(0, LEFT);
    const right = mesh.entries.slice(LEFT);
    for (const { name } of left) leftNames.add(name);
    mesh.clock.runUntil(CUT_AT_MS);
    isCut = true;
    mesh.part(left, right, true);
    let reversions = 0;
    let unready = 0;
    let before = offsetsOf(mesh.entries);
    const look = () => {
      const now = offsetsOf(mesh.entries);
      reversions +=
        now.filter((offset, index) => offset < (before[index] ?? -1)).length;
      unready += mesh.entries.filter(({ state }) => !state.ready).length;
      before = now;
    };
    for (let at = CUT_AT_MS; at < JOIN_AT_MS; at += CONFIG_EVERY_MS) {
      mesh.clock.runUntil(at);
      mesh.publish(left[0]?.state.config?.offset ?? 0);
      look();
    }
    mesh.clock.runUntil(JOIN_AT_MS);
    const stale = Math.max(...offsetsOf(left)) - Math.max(...offsetsOf(right));
    isCut = false;
    mesh.part(left, right, false);
    for (const entry of mesh.entries) entry.bytes = 0;
    let convergedMs = Infinity;
    for (let at = JOIN_AT_MS; at <= JOIN_AT_MS + CONVERGE_MS; at += 100) {
      mesh.clock.runUntil(at);
      look();
      const isOne = new Set(offsetsOf(mesh.entries)).size === 1;
      const isWhole = mesh.entries.every(({ state }) =>
        state.peers.size === ENTRIES - 1
      );
      if (isOne && isWhole) {
        convergedMs = Math.min(convergedMs, at - JOIN_AT_MS);
      }
    }
    const bytes = Math.max(...mesh.entries.map((entry) => entry.bytes)) /
      (CONVERGE_MS / 1_000);
    return [
      {
        name: "region_cut_1h.offsets_behind_at_rejoin",
        value: stale,
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
        atMost: CONVERGE_MS,
      },
      {
        name: "region_cut_1h.bytes_per_s",
        value: bytes,
        unit: "bytes/s",
        atMost: TWICE_BUDGET_BYTES,
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
    const p99 = sorted[Math.floor(sorted.length * PERCENTILE)] ?? Infinity;
    return [{
      name: "config_in_force_ms",
      value: p99,
      unit: "ms",
      atMost: 5_000,
    }];
  },
};

/** Benches of partitions between entries, and from the log. */
export const CUT_BENCHES: readonly Bench[] = [configInForce, regionCut];
