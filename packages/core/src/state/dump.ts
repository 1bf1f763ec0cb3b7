/**
 * Dumps the reducer's state as plain data for operators.
 *
 * @module
 */
import type { FairNode } from "../admission/fair_queue.ts";
import { dumpFold } from "../fold/fold_state.ts";
import type { State } from "./types.ts";

/** Fields whose values never leave the process. */
const SECRET_FIELDS =
  /^(keySha256|peerKey|secret|privateKey|forwardKey|operatorKeySha256|keys)$/;
/** Fields that repeat other parts of the dump. */
const OMITTED_FIELDS = new Set([
  "timers",
  "random",
  "seen",
  "fold",
  "byHost",
  "teamByKey",
  "observed",
]);
/** Largest number of entries dumped of a map or list; a map's dump also counts the omitted ones. */
const MAX_ENTRIES = 1_000;

/** Any JSON value. */
export type Json = string | number | boolean | null | Json[] | {
  [key: string]: Json;
};

function dumpMap(map: ReadonlyMap<unknown, unknown>): Json {
  const entries = [...map].slice(0, MAX_ENTRIES).map((
    [key, value],
  ): [string, Json] => [String(key), toJson(value)]);
  const rest = map.size - entries.length;
  return Object.fromEntries(
    rest > 0 ? [...entries, ["(omitted)", rest]] : entries,
  );
}

function dumpObject(value: object): Json {
  const entries = Object.entries(value)
    .filter(([key, inner]) => !OMITTED_FIELDS.has(key) && inner !== undefined)
    .map((
      [key, inner],
    ): [string, Json] => [
      key,
      SECRET_FIELDS.test(key) ? "(hidden)" : toJson(inner),
    ]);
  return Object.fromEntries(entries);
}

/** Converts maps, sets and nested objects to plain data, with secrets hidden. */
export function toJson(value: unknown): Json {
  if (value === undefined || value === null) return null;
  if (value instanceof Map) return dumpMap(value);
  if (value instanceof Set) return [...value].slice(0, MAX_ENTRIES).map(toJson);
  if (Array.isArray(value)) return value.slice(0, MAX_ENTRIES).map(toJson);
  if (typeof value === "object") return dumpObject(value);
  if (typeof value === "number") {
    return Number.isFinite(value) ? value : String(value);
  }
  return typeof value === "string" || typeof value === "boolean"
    ? value
    : String(value);
}

function dumpQueue<T>(node: FairNode<T>): Json {
  return {
    name: node.name,
    weight: node.weight,
    served: node.served,
    backlog: node.backlog,
    children: [...node.children.values()].map(dumpQueue),
  };
}

/**
 * Dumps the whole state with secrets hidden and prompt prefixes removed.
 *
 * @example
 * ```ts
 * JSON.stringify(dumpState(state), null, 2);
 * ```
 */
export function dumpState(state: State): { [key: string]: Json } {
  const { seen: _seen, config: _config, ...fold } = dumpFold(state.fold);
  const dump = dumpObject(state) as { [key: string]: Json };
  dump.fold = toJson(fold);
  for (const pool of state.pools.values()) {
    const dumped =
      (dump.pools as { [key: string]: { [key: string]: Json } })[pool.name];
    if (dumped === undefined) continue;
    delete dumped.prefixes;
    dumped.prefixesKnown = pool.prefixes.holders.size;
    dumped.queues = {
      urgent: dumpQueue(pool.queues.urgent),
      standard: dumpQueue(pool.queues.standard),
      batch: dumpQueue(pool.queues.batch),
    };
  }
  return dump;
}
