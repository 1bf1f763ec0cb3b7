/**
 * Creates, dumps and restores folded states.
 *
 * @module
 */
import type { FoldDump, FoldState } from "./types.ts";

/** Creates the folded state of an empty log. */
export function createFoldState(): FoldState {
  return {
    next: 1,
    at: 0,
    level: 1,
    config: undefined,
    history: [],
    leases: new Map(),
    groups: new Map(),
    vms: new Map(),
    claims: new Map(),
    usage: new Map(),
    seen: new Set(),
  };
}

/** Dumps a folded state as plain data, which shares nothing mutable with the state. */
export function dumpFold(fold: FoldState): FoldDump {
  return structuredClone({
    next: fold.next,
    at: fold.at,
    level: fold.level,
    ...(fold.config && { config: fold.config }),
    history: fold.history,
    leases: [...fold.leases.values()],
    groups: [...fold.groups.values()],
    vms: [...fold.vms.values()],
    claims: [...fold.claims.values()],
    usage: [...fold.usage.values()],
    seen: [...fold.seen],
  });
}

function indexBy<T, K extends keyof T>(
  items: readonly T[],
  key: K,
): Map<string, T> {
  return new Map(items.map((item) => [String(item[key]), item]));
}

/**
 * Restores a folded state from a dump.
 *
 * @example
 * ```ts
 * const copy = restoreFold(dumpFold(fold));
 * ```
 */
export function restoreFold(dump: FoldDump): FoldState {
  const copy = structuredClone(dump);
  return {
    next: copy.next,
    at: copy.at,
    level: copy.level,
    config: copy.config,
    history: copy.history,
    leases: indexBy(copy.leases, "name"),
    groups: indexBy(copy.groups, "name"),
    vms: indexBy(copy.vms, "vm"),
    claims: indexBy(copy.claims, "key"),
    usage: indexBy(copy.usage, "entry"),
    seen: new Set(copy.seen),
  };
}
