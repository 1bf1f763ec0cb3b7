/**
 * Handles reads of the runner list and of the routing configuration.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { publishRouting, publishRunners } from "../read_sharing/publish.ts";
import { confirm, invalidate } from "./freshness.ts";
import { pruneRunnerStats } from "./runner_stats.ts";
import { createRoutingTable } from "./routes.ts";
import { canServe, indexRunner, removeRunner } from "./runner_index.ts";
import { serveWaiting } from "./send.ts";
import type { Gateway, Runner } from "./types.ts";

/** Handles a read of the runner list: its changes, or the complete list. */
export function* applyRunners(
  state: State,
  event: EventOf<"runners_read">,
): Effects {
  const gateway = state.gateway!;
  const { runners, isWhole, confirmedAt } = event;
  const { readSharing } = gateway;
  const isPassedOn = confirmedAt === undefined;
  readSharing.runnersOffset = Math.max(readSharing.runnersOffset, event.offset);
  if (!isPassedOn) confirm(gateway.runnersFreshness, confirmedAt);
  if (!isPassedOn && isWhole) readSharing.hasWholeList = true;
  const removedIds = isWhole
    ? findUnlisted(gateway, runners)
    : event.removedIds;
  for (const id of removedIds) yield* applyRemoval(gateway, id, { isPassedOn });
  if (removedIds.length > 0) pruneRunnerStats(gateway, state.now);
  for (const runner of runners) {
    if (!gateway.runners.has(runner.id)) gateway.lastRunnerAddedAt = state.now;
    yield* applyEntry(gateway, runner);
  }
  if (!isPassedOn) {
    yield* publishRunners(state, { read: runners, removedIds });
  }
  for (const key of gateway.waitingRequests.keys()) {
    yield* serveWaiting(state, gateway, key);
  }
}

function findUnlisted(gateway: Gateway, runners: Runner[]): string[] {
  const listed = new Set(runners.map(({ id }) => id));
  return [...gateway.runners.keys()].filter((id) => !listed.has(id));
}

function* applyRemoval(
  gateway: Gateway,
  id: string,
  { isPassedOn }: { isPassedOn: boolean },
): Effects {
  const known = gateway.runners.get(id);
  if (known === undefined) return;
  removeRunner(gateway, id);
  gateway.groupPlanner.healthChecks.delete(id);
  // An upstream does not pass on runners that serve no requests, so their absence says nothing.
  if (isPassedOn && !canServe(known)) return;
  yield { kind: "log", event: "runner_gone", fields: { runner: id } };
}

function* applyEntry(gateway: Gateway, runner: Runner): Effects {
  const known = gateway.runners.get(runner.id);
  if (known === runner) return;
  // A delayed entry of an earlier process does not describe the current one.
  if (known !== undefined && runner.startedUnixMs < known.startedUnixMs) return;
  indexRunner(gateway, runner);
  if (known !== undefined && known.startedUnixMs !== runner.startedUnixMs) {
    const stats = gateway.runnerStats.get(runner.id);
    if (stats !== undefined) {
      stats.load = undefined;
      stats.requestsPerSecond = undefined;
    }
  }
  const { membership } = runner;
  const before = known?.membership;
  const isSame = known !== undefined && known.state === runner.state &&
    known.startedUnixMs === runner.startedUnixMs &&
    before?.group === membership?.group &&
    before?.epoch === membership?.epoch &&
    before?.state === membership?.state &&
    known.staged[0] === runner.staged[0];
  if (isSame) return;
  yield {
    kind: "log",
    event: "runner_changed",
    fields: {
      runner: runner.id,
      state: runner.state,
      born: runner.startedUnixMs,
      group: membership?.group,
      epoch: membership?.epoch,
      rank: membership?.rank,
      place: membership?.state,
      domain: runner.domain,
      staged: runner.staged[0],
    },
  };
}

/** Handles a read of the configuration; a version older than the one in force is ignored. */
export function* applyRouting(
  state: State,
  { document, confirmedAt }: EventOf<"routing_read">,
): Effects {
  const gateway = state.gateway!;
  if (confirmedAt !== undefined) confirmByStore(gateway, confirmedAt);
  const inForce = gateway.routing?.document.version;
  if (inForce !== undefined && document.version <= inForce) return;
  gateway.routing = createRoutingTable(document);
  yield {
    kind: "log",
    event: "routing_in_force",
    fields: {
      version: document.version,
      before: inForce,
      routes: document.routes.length,
      ageMs: confirmedAt && Math.round(state.now - confirmedAt),
    },
  };
  yield { kind: "limits_in_force", limits: document.limits };
  if (confirmedAt !== undefined) yield* publishRouting(state, document);
}

/** Records that a read of the store confirmed the configuration. */
function confirmByStore(
  { routingFreshness, readSharing }: Gateway,
  confirmedAt: number,
): void {
  confirm(routingFreshness, confirmedAt);
  if (confirmedAt < routingFreshness.invalidBefore) return;
  readSharing.storeConfirmedAt = Math.max(
    readSharing.storeConfirmedAt,
    confirmedAt,
  );
}

/** Handles a read that returned no change. */
export function confirmFreshness(
  state: State,
  { topic, confirmedAt }: EventOf<"freshness_confirmed">,
): Effects {
  const gateway = state.gateway!;
  if (topic === "routing") confirmByStore(gateway, confirmedAt);
  else confirm(gateway.runnersFreshness, confirmedAt);
  return noEffects();
}

/** Handles a jump between the clocks: this process may have been suspended, so the age of its data is unknown. */
export function* invalidateAll(
  state: State,
  { driftMs }: EventOf<"clock_jumped">,
): Effects {
  const { gateway } = state;
  if (gateway === undefined) return;
  invalidate(gateway.routingFreshness, state.now);
  invalidate(gateway.runnersFreshness, state.now);
  gateway.groupPlanner.leadership.renewedAt = -Infinity;
  gateway.readSharing.storeConfirmedAt = -Infinity;
  yield {
    kind: "log",
    event: "clock_jumped",
    fields: { driftMs: Math.round(driftMs) },
  };
}
