/**
 * Indexes the known runners by the kinds of work that they can serve.
 *
 * A request goes through its candidates only, so that its cost does not grow with the thousands of runners of a fleet.
 *
 * @module
 */
import { tupleKey } from "../util/tuple_key.ts";
import type { Gateway, Runner } from "./types.ts";

/** Kind of work: a service and its model; the model is undefined for plain services. */
export interface WorkKind {
  service: string;
  model: string | undefined;
}

/** Returns the key of a kind of work, under which runners are indexed and requests wait. */
export function workKey({ service, model }: WorkKind): string {
  return tupleKey(service, model);
}

/** Returns the kinds of work that a runner can serve: its service, and its model where it is the head of an open group. */
function workKindsOf(
  { service, state, model, membership }: Runner,
): WorkKind[] {
  if (state !== "ready") return [];
  const kinds: WorkKind[] = [{ service, model: undefined }];
  const isOpenHead = membership?.state === "open" && membership.rank === 0;
  if (isOpenHead && model !== undefined) kinds.push({ service, model });
  return kinds;
}

/** Returns whether a runner can serve requests: it belongs to a plain service, or is the head of an open group. */
export function canServe(runner: Runner): boolean {
  if (runner.state !== "ready") return false;
  if (runner.domain === undefined) return true;
  const { membership } = runner;
  return membership?.state === "open" && membership.rank === 0;
}

function removeFromIndex(gateway: Gateway, runner: Runner): void {
  const { runnerIndex } = gateway;
  if (canServe(runner)) gateway.servingCount -= 1;
  for (const kind of workKindsOf(runner)) {
    const key = workKey(kind);
    const candidates = runnerIndex.get(key);
    candidates?.delete(runner.id);
    if (candidates?.size === 0) runnerIndex.delete(key);
  }
}

/** Adds a runner to the index, or updates its entry. */
export function indexRunner(gateway: Gateway, runner: Runner): void {
  const known = gateway.runners.get(runner.id);
  if (known !== undefined) removeFromIndex(gateway, known);
  gateway.runners.set(runner.id, runner);
  if (canServe(runner)) gateway.servingCount += 1;
  for (const kind of workKindsOf(runner)) {
    const key = workKey(kind);
    const candidates = gateway.runnerIndex.get(key) ??
      new Map<string, Runner>();
    candidates.set(runner.id, runner);
    gateway.runnerIndex.set(key, candidates);
  }
}

/** Removes a runner from the index; returns false where it was not in it. */
export function removeRunner(gateway: Gateway, id: string): boolean {
  const known = gateway.runners.get(id);
  if (known === undefined) return false;
  removeFromIndex(gateway, known);
  gateway.unreachableRunners.delete(id);
  return gateway.runners.delete(id);
}

/**
 * Returns the candidates of a kind of work, with or without a free slot.
 *
 * @example
 * ```ts
 * [...candidatesFor(gateway, { service: "llm", model: "small" })]; // heads of open groups of that model
 * ```
 */
export function candidatesFor(
  gateway: Gateway,
  kind: WorkKind,
): Iterable<Runner> {
  return gateway.runnerIndex.get(workKey(kind))?.values() ?? [];
}

/** True where any runner can serve a kind of work. */
export function hasCandidates(
  { runnerIndex }: Gateway,
  kind: WorkKind,
): boolean {
  return runnerIndex.has(workKey(kind));
}

/** Returns the requests that a runner runs at once. */
export function slotsOf({ routing }: Gateway, runner: Runner): number {
  const engine = routing?.services.get(runner.service)?.engine;
  return engine?.slots ?? runner.slots;
}
