/**
 * Tells a daemon whose own network has failed from runners that have failed.
 *
 * A connection that fails says that its runner is down, or that the path to it is. Where connections to several runners
 * of a service fail in a row and none succeeds between, the path of this daemon is the likelier cause.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { candidatesFor } from "../gateway/runner_index.ts";
import type { Gateway, Runner } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  EVIDENCE_MS,
  LOST_AFTER_RUNNERS,
  LOST_AFTER_RUNNERS_WHILE_LOST,
  MIN_LOST_MS,
} from "./constants.ts";
import type { ServicePath } from "./types.ts";

/** Returns whether this daemon has lost its path to the runners of a service. */
export function isPathLost(
  { servicePaths }: Gateway,
  service: string,
): boolean {
  return servicePaths.get(service)?.lostSince !== undefined;
}

/** Returns whether this daemon has lost its path to a service for at least `ms`. */
export function isPathLostFor(
  { gateway, now }: State,
  service: string,
  { ms }: { ms: number },
): boolean {
  const lostSince = gateway!.servicePaths.get(service)?.lostSince;
  return lostSince !== undefined && now - lostSince >= ms;
}

/** Returns whether failures of a runner are those of this daemon's own path, as other daemons reach its service. */
export function isOwnFault(gateway: Gateway, runner: string): boolean {
  const service = gateway.runners.get(runner)?.service;
  return service !== undefined &&
    gateway.servicePaths.get(service)?.isProven === true;
}

/** Records a response through another daemon, which shows that runners of a service are up. */
export function proveLost(gateway: Gateway, service: string): void {
  const path = gateway.servicePaths.get(service);
  if (path?.lostSince === undefined || path.isProven) return;
  path.isProven = true;
  dropSuspects(gateway, service);
}

/** Drops the suspects of a service that were not passed on yet. */
function dropSuspects(
  { runners, readSharing: { suspects } }: Gateway,
  service: string,
): void {
  for (const id of suspects) {
    if (runners.get(id)?.service === service) suspects.delete(id);
  }
}

function createPath(now: number): ServicePath {
  return {
    failedRunners: new Map(),
    lostSince: undefined,
    isProven: false,
    nextProbeAt: now,
  };
}

function isAnyPathLost({ servicePaths }: Gateway): boolean {
  return [...servicePaths.values()].some(({ lostSince }) =>
    lostSince !== undefined
  );
}

/** Returns how many runners have to fail in a row before the path to their service counts as lost. */
function lostAfter(gateway: Gateway, service: string): number {
  const limit = isAnyPathLost(gateway)
    ? LOST_AFTER_RUNNERS_WHILE_LOST
    : LOST_AFTER_RUNNERS;
  const count = [...candidatesFor(gateway, { service, model: undefined })]
    .length;
  return Math.min(limit, Math.max(1, count));
}

function dropOldEvidence({ failedRunners }: ServicePath, now: number): void {
  for (const [id, at] of failedRunners) {
    if (now - at > EVIDENCE_MS) failedRunners.delete(id);
  }
}

/** Drops what is known of paths that work and to which no connection has failed of late. */
export function pruneServicePaths({ gateway, now }: State): void {
  for (const [service, path] of gateway!.servicePaths) {
    if (path.lostSince !== undefined) continue;
    dropOldEvidence(path, now);
    if (path.failedRunners.size === 0) gateway!.servicePaths.delete(service);
  }
}

/** Records a connection to a runner that failed or broke off, and whether the path to its service is lost. */
export function* recordConnectionFailure(
  { gateway, now }: State,
  { runner, service }: { runner: string; service: string },
): Effects {
  const { servicePaths } = gateway!;
  const path: ServicePath = servicePaths.get(service) ??
    createPath(now);
  servicePaths.set(service, path);
  path.failedRunners.set(runner, now);
  if (path.lostSince !== undefined) return;
  dropOldEvidence(path, now);
  if (path.failedRunners.size < lostAfter(gateway!, service)) return;
  path.lostSince = now;
  path.nextProbeAt = now;
  yield {
    kind: "log",
    event: "path_lost",
    fields: { service, runners: [...path.failedRunners.keys()].join(" ") },
  };
}

/** Ends the avoidance of a runner that the path of this daemon caused. */
function forgiveRunner(
  { runnerStats, unreachableRunners }: Gateway,
  id: string,
): void {
  unreachableRunners.delete(id);
  const stats = runnerStats.get(id);
  if (stats === undefined) return;
  stats.failures = 0;
  stats.unreachedBy.clear();
  stats.avoidUntil = stats.avoidForwardedUntil;
}

function findByAddress(gateway: Gateway, address: string): Runner | undefined {
  for (const runner of gateway.runners.values()) {
    if (runner.address === address) return runner;
  }
  return undefined;
}

/** Handles a new connection to a runner. */
export function* recordConnection(
  state: State,
  { address }: EventOf<"runner_connected">,
): Effects {
  const { unreachableRunners, servicePaths } = state.gateway!;
  if (unreachableRunners.size + servicePaths.size === 0) return;
  const runner = findByAddress(state.gateway!, address);
  if (runner !== undefined) yield* confirmPath(state, runner);
}

/** Records that this daemon reaches a runner, so that its path to the service works. */
export function* confirmPath(
  { gateway, now }: State,
  { id, service }: Runner,
): Effects {
  const { servicePaths, unreachableRunners, runners } = gateway!;
  if (unreachableRunners.has(id)) forgiveRunner(gateway!, id);
  const path = servicePaths.get(service);
  servicePaths.delete(service);
  if (path?.lostSince === undefined) return;
  for (const runner of runners.values()) {
    if (runner.service === service) forgiveRunner(gateway!, runner.id);
  }
  // A loss that a probe denies at once leaves the blame where it was.
  if (now - path.lostSince >= MIN_LOST_MS) dropSuspects(gateway!, service);
  yield {
    kind: "log",
    event: "path_regained",
    fields: { service, runner: id, lostMs: Math.round(now - path.lostSince) },
  };
}
