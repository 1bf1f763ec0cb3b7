/**
 * Indexes the known runners by the kinds of work that they can serve.
 *
 * A request goes through its candidates only, so that its cost does not grow with the thousands of runners of a fleet.
 *
 * @module
 */
import type { Gateway, Runner } from "./types.ts";

/** Kind of work: a service and its model; the model is undefined for plain services. */
export interface WorkKind {
  service: string;
  model: string | undefined;
}

const SEPARATOR = "\n";

/** Returns the key of a kind of work, under which runners are indexed and requests wait. */
export function workKey({ service, model }: WorkKind): string {
  return model === undefined ? service : `${service}${SEPARATOR}${model}`;
}

/** Returns the kinds of work that a runner can serve: its service, and its model where it heads an open group. */
function kindsOf({ service, state, model, membership }: Runner): WorkKind[] {
  if (state !== "ready") return [];
  const kinds: WorkKind[] = [{ service, model: undefined }];
  const isOpenHead = membership?.state === "open" && membership.rank === 0;
  if (isOpenHead && model !== undefined) kinds.push({ service, model });
  return kinds;
}

function forget({ takers }: Gateway, runner: Runner): void {
  for (const kind of kindsOf(runner)) {
    const key = workKey(kind);
    const group = takers.get(key);
    group?.delete(runner.id);
    if (group?.size === 0) takers.delete(key);
  }
}

/** Adds a runner to the index, or replaces its entry. */
export function listRunner(gateway: Gateway, runner: Runner): void {
  const known = gateway.runners.get(runner.id);
  if (known !== undefined) forget(gateway, known);
  gateway.runners.set(runner.id, runner);
  for (const kind of kindsOf(runner)) {
    const key = workKey(kind);
    const group = gateway.takers.get(key) ?? new Map<string, Runner>();
    group.set(runner.id, runner);
    gateway.takers.set(key, group);
  }
}

/** Removes a runner from the index; returns false where it was not in it. */
export function unlistRunner(gateway: Gateway, id: string): boolean {
  const known = gateway.runners.get(id);
  if (known === undefined) return false;
  forget(gateway, known);
  return gateway.runners.delete(id);
}

/**
 * Returns the candidates of a kind of work, with or without a free slot.
 *
 * @example
 * ```ts
 * [...takersOf(gateway, { service: "llm", model: "small" })]; // heads of open groups of that model
 * ```
 */
export function takersOf(gateway: Gateway, kind: WorkKind): Iterable<Runner> {
  return gateway.takers.get(workKey(kind))?.values() ?? [];
}

/** True where any runner can serve a kind of work. */
export function isServed({ takers }: Gateway, kind: WorkKind): boolean {
  return takers.has(workKey(kind));
}
