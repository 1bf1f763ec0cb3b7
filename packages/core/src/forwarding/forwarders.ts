/**
 * Chooses the daemon through which a request is sent, and avoids those that failed.
 *
 * @module
 */
import type { Gateway, RoutedRequest } from "../gateway/types.ts";
import type { DaemonEntry } from "../read_sharing/types.ts";
import { mayForwardThrough } from "../placement/may_use.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { createAverage } from "../util/ewma.ts";
import { nextFloat } from "../util/random.ts";
import {
  AVOID_FORWARDER_MS,
  MAX_AVOID_MS,
  MAX_FORWARDERS,
  OTHER_ZONE_PENALTY,
} from "./constants.ts";
import type {
  Forwarder,
  ForwarderFault,
  ForwarderStats,
  Forwarding,
} from "./types.ts";

/** Creates the state of forwarding. */
export function createForwarding(): Forwarding {
  return {
    forwarders: new Map(),
    inFlight: new Set(),
    lateness: createAverage(0),
  };
}

/** Returns what is known of a forwarder, created where it was not used yet. */
export function forwarderStatsOf(
  { forwarding }: Gateway,
  node: string,
): ForwarderStats {
  let stats = forwarding.forwarders.get(node);
  if (stats === undefined) {
    stats = { inFlight: 0, avoidUntil: -Infinity, failures: 0 };
    forwarding.forwarders.set(node, stats);
  }
  return stats;
}

type KeyedDaemon = DaemonEntry & { forwardKey: string };

function isUsable(
  state: State,
  request: RoutedRequest,
  daemon: DaemonEntry,
): daemon is KeyedDaemon {
  if (daemon.forwardKey === undefined) return false;
  if (request.triedForwarders.has(daemon.node)) return false;
  if (!mayForwardThrough(state, request, daemon)) return false;
  const stats = state.gateway!.forwarding.forwarders.get(daemon.node);
  return stats === undefined || stats.avoidUntil <= state.now;
}

function* usableForwarders(
  state: State,
  request: RoutedRequest,
): Generator<KeyedDaemon, void, void> {
  const { daemons } = state.gateway!.readSharing;
  if (daemons === undefined) return;
  if (request.triedForwarders.size >= MAX_FORWARDERS) return;
  for (const daemon of daemons.values()) {
    if (isUsable(state, request, daemon)) yield daemon;
  }
}

/** Returns whether a request can be sent through another daemon. */
export function hasForwarder(state: State, request: RoutedRequest): boolean {
  return usableForwarders(state, request).next().done === false;
}

/** Chooses the daemon through which a request is sent, one of the same availability zone where any can be used. */
export function chooseForwarder(
  state: State,
  request: RoutedRequest,
): Forwarder | undefined {
  const gateway = state.gateway!;
  let best: { daemon: KeyedDaemon; score: number } | undefined;
  for (const daemon of usableForwarders(state, request)) {
    const inFlight = gateway.forwarding.forwarders.get(daemon.node)?.inFlight ??
      0;
    const zonePenalty = daemon.zone === gateway.zone ? 0 : OTHER_ZONE_PENALTY;
    const score = inFlight / daemon.cores + zonePenalty +
      nextFloat(state.random);
    if (best === undefined || score < best.score) best = { daemon, score };
  }
  if (best === undefined) return undefined;
  const { node, address, forwardKey: key } = best.daemon;
  return { node, address, key };
}

/** Drops what is known of daemons that are registered no more and have no request in flight. */
export function pruneForwarders({ forwarding, readSharing }: Gateway): void {
  for (const [node, { inFlight }] of forwarding.forwarders) {
    if (inFlight > 0 || readSharing.daemons?.has(node)) continue;
    forwarding.forwarders.delete(node);
  }
}

/** Records that a request did not get through a forwarder. */
export function* recordForwarderFailure(
  state: State,
  { request, forwarder, cause }: {
    request: RoutedRequest;
    forwarder: string;
    cause: ForwarderFault;
  },
): Effects {
  const stats = forwarderStatsOf(state.gateway!, forwarder);
  request.triedForwarders.add(forwarder);
  const avoidMs = cause === "failed"
    ? Math.min(MAX_AVOID_MS, AVOID_FORWARDER_MS[cause] * 2 ** stats.failures)
    : AVOID_FORWARDER_MS[cause];
  if (cause === "failed") stats.failures += 1;
  stats.avoidUntil = Math.max(stats.avoidUntil, state.now + avoidMs);
  yield {
    kind: "log",
    event: "forwarder_avoided",
    fields: {
      request: request.id,
      forwarder,
      cause,
      avoidMs,
      failures: stats.failures,
    },
  };
}
