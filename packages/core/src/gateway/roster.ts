/**
 * The runners that are known, and which of them take which work.
 *
 * Answers the load of requests before thousands of runners: a request looks only at those that may take it.
 *
 * @module
 */
import type { Gateway, Runner } from "./types.ts";

/** Work as runners take it; the model is undefined for plain services. */
export interface WorkKind {
  service: string;
  model: string | undefined;
}

const SEPARATOR = "\n";

/** Returns the key of a kind of work, under which runners are listed and requests wait. */
export function workKey({ service, model }: WorkKind): string {
  return model === undefined ? service : `${service}${SEPARATOR}${model}`;
}

/** Kinds of work that a runner takes: any request of its service, where that is a plain one, and those of its model. */
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

/** Lists a runner, in place of what was known of it. */
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

/** Takes a runner off the list; false where it was not on it. */
export function unlistRunner(gateway: Gateway, id: string): boolean {
  const known = gateway.runners.get(id);
  if (known === undefined) return false;
  forget(gateway, known);
  return gateway.runners.delete(id);
}

/**
 * Returns the runners that take a kind of work, with or without a free place.
 *
 * @example
 * ```ts
 * [...takersOf(gateway, { service: "llm", model: "small" })]; // heads of open groups of that model
 * ```
 */
export function takersOf(gateway: Gateway, kind: WorkKind): Iterable<Runner> {
  return gateway.takers.get(workKey(kind))?.values() ?? [];
}

/** True where any runner takes a kind of work. */
export function isServed({ takers }: Gateway, kind: WorkKind): boolean {
  return takers.has(workKey(kind));
}
