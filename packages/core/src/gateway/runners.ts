/**
 * Handles reads of the runner list and of the routing configuration.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { distrust, prove } from "./belief.ts";
import { serveWaiting } from "./send.ts";
import { listRunner, unlistRunner } from "./roster.ts";
import { createRoutingTable } from "./routes.ts";
import type { Gateway, Runner } from "./types.ts";

/** Handles a read of the runner list: its changes, or the complete list. */
export function* readRunners(
  state: State,
  { runners, gone, isWhole, provedAt }: EventOf<"runners_read">,
): Effects {
  const gateway = state.gateway!;
  prove(gateway.runnerBelief, provedAt);
  const removed = isWhole ? missingFrom(gateway, runners) : gone;
  for (const id of removed) yield* removeRunner(gateway, id);
  for (const runner of runners) {
    if (!gateway.runners.has(runner.id)) gateway.runnersGrewAt = state.now;
    yield* putRunner(gateway, runner);
  }
  for (const key of gateway.waiting.keys()) {
    yield* serveWaiting(state, gateway, key);
  }
}

function missingFrom(gateway: Gateway, runners: Runner[]): string[] {
  const listed = new Set(runners.map(({ id }) => id));
  return [...gateway.runners.keys()].filter((id) => !listed.has(id));
}

function* removeRunner(gateway: Gateway, id: string): Effects {
  if (!unlistRunner(gateway, id)) return;
  const target = gateway.targets.get(id);
  if (target?.inFlight === 0) gateway.targets.delete(id);
  gateway.groupPlanner.healthChecks.delete(id);
  yield { kind: "log", event: "runner_gone", fields: { runner: id } };
}

function* putRunner(gateway: Gateway, runner: Runner): Effects {
  const known = gateway.runners.get(runner.id);
  if (known === runner) return;
  // A delayed entry of an earlier process does not describe the current one.
  if (known !== undefined && runner.born < known.born) return;
  listRunner(gateway, runner);
  if (known !== undefined && known.born !== runner.born) {
    const target = gateway.targets.get(runner.id);
    if (target !== undefined) target.load = undefined;
  }
  const { membership } = runner;
  const before = known?.membership;
  const isSame = known !== undefined && known.state === runner.state &&
    known.born === runner.born && before?.group === membership?.group &&
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
      born: runner.born,
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
export function* readRouting(
  state: State,
  { document, provedAt }: EventOf<"routing_read">,
): Effects {
  const gateway = state.gateway!;
  prove(gateway.routingBelief, provedAt);
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
      ageMs: Math.round(state.now - provedAt),
    },
  };
  yield { kind: "limits_in_force", limits: document.limits };
}

/** Handles a read that returned no change. */
export function confirmBelief(
  state: State,
  { what, provedAt }: EventOf<"belief_confirmed">,
): Effects {
  const { routingBelief, runnerBelief } = state.gateway!;
  prove(what === "routing" ? routingBelief : runnerBelief, provedAt);
  return noEffects();
}

/** Handles a jump between the clocks: this process may have been suspended, so the age of its data is unknown. */
export function* distrustAll(
  state: State,
  { driftMs }: EventOf<"clock_jumped">,
): Effects {
  const { gateway } = state;
  if (gateway === undefined) return;
  distrust(gateway.routingBelief, state.now);
  distrust(gateway.runnerBelief, state.now);
  gateway.groupPlanner.leadership.renewedAt = -Infinity;
  yield {
    kind: "log",
    event: "clock_jumped",
    fields: { driftMs: Math.round(driftMs) },
  };
}
