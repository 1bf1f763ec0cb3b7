/**
 * Decides whether this daemon sends a request for another daemon that has lost its path to the runner.
 *
 * All that holds for a caller's request holds here too, by what this daemon knows. It never forwards a request that was
 * forwarded to it, so that a request takes one hop at most. The other daemon keeps all decisions on what follows.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { quarantineRefusal } from "../gateway/held_requests.ts";
import { lookUp } from "../gateway/lookup.ts";
import { canServe } from "../gateway/runner_index.ts";
import { hearLeaving } from "../gateway/leaving.ts";
import {
  endBackoff,
  hearBackoff,
  isPastBackoff,
  noteTrial,
} from "../gateway/runner_backoff.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import type { Gateway, Runner } from "../gateway/types.ts";
import { countForward, isWithinColdPace } from "../pacing/mod.ts";
import { isEvacuated } from "../placement/evacuations.ts";
import { mayForwardThrough, mayUse } from "../placement/may_use.ts";
import { allowedRegionsOf } from "../placement/regions.ts";
import { crashSuspectsOf } from "../quarantine/mod.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import { isPathLost, recordConnectionFailure } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import { addSample } from "../util/ewma.ts";
import { verdictOf } from "../verdict/verdict_table.ts";
import {
  LATENESS_WEIGHT,
  MAX_FORWARDED_PER_CORE,
  MAX_LATENESS_MS,
} from "./constants.ts";
import type { ForwardRefusal } from "./types.ts";

/** Records by how much a sweep of this daemon ran late. */
export function recordLateness({ forwarding }: Gateway, lateMs: number): void {
  addSample(forwarding.lateness, Math.max(0, lateMs), {
    weight: LATENESS_WEIGHT,
  });
}

/** Returns whether this daemon's own callers would pay for more requests of others. */
function isBusy({ forwarding, readSharing }: Gateway): boolean {
  const cores = readSharing.self?.cores ?? 1;
  return forwarding.inFlight.size >= MAX_FORWARDED_PER_CORE * cores ||
    forwarding.lateness.value > MAX_LATENESS_MS;
}

function findRefusal(
  state: State,
  event: EventOf<"forward_arrived">,
  runner: Runner | undefined,
): ForwardRefusal | undefined {
  const gateway = state.gateway!;
  if (state.phase !== "serving") return "stopping";
  if (gateway.routing === undefined) return "not_ready";
  const found = lookUp(gateway, gateway.routing, { event, now: state.now });
  if (!found.ok) {
    return found.refusal.code === "not_ready" ? "not_ready" : "not_allowed";
  }
  if (found.team?.name !== event.team) return "not_allowed";
  if (runner === undefined || !canServe(runner)) return "runner_gone";
  if (isEvacuated(gateway, runner.zone)) return "runner_gone";
  const stats = runnerStatsOf(gateway, runner.id);
  if (!isPastBackoff(stats, state.now)) return "runner_gone";
  if (!isWithinColdPace(state, { runner, stats })) return "runner_gone";
  const isAllowed = found.route.backends.some(({ service }) =>
    service === runner.service
  );
  if (!isAllowed) return "not_allowed";
  const placed = { allowedRegions: allowedRegionsOf(found.route, found.team) };
  const isInRegions = mayUse(state, placed, runner) &&
    mayForwardThrough(state, placed, gateway);
  if (!isInRegions) return "not_allowed";
  const crashSuspects = crashSuspectsOf(event);
  const { isTrial } = event;
  if (quarantineRefusal(state, { crashSuspects, isTrial }) !== undefined) {
    return "quarantined";
  }
  if (isPathLost(gateway, runner.service)) return "path_lost";
  return isBusy(gateway) ? "busy" : undefined;
}

/** Handles a request of another daemon: sends it, or refuses it as not run. */
export function* admitForward(
  state: State,
  event: EventOf<"forward_arrived">,
): Effects {
  const { request, runner: id } = event;
  const { runners, forwarding } = state.gateway!;
  const runner = runners.get(id);
  const cause = findRefusal(state, event, runner);
  if (cause !== undefined) {
    yield {
      kind: "log",
      event: "forward_refused",
      fields: {
        request,
        runner: id,
        cause,
        inFlight: forwarding.inFlight.size,
      },
    };
    return yield { kind: "refuse_forward", request, cause };
  }
  forwarding.inFlight.add(request);
  const stats = runnerStatsOf(state.gateway!, id);
  noteTrial(stats, state.now);
  countForward(state, { runner: runner!, stats });
  yield {
    kind: "log",
    event: "request_forwarded",
    fields: { request, runner: id, inFlight: forwarding.inFlight.size },
  };
  yield { kind: "forward", request, address: runner!.address };
}

/** Handles a connection that failed for another daemon, which tells as much of the own path as one for a caller. */
export function* recordUnconnected(
  state: State,
  { runner, outcome }: EventOf<"forward_unconnected">,
): Effects {
  const service = state.gateway!.runners.get(runner)?.service;
  if (service === undefined || verdictOf(outcome) !== "not_run") return;
  yield* recordConnectionFailure(state, { runner, service });
}

/** Handles what a runner says of itself in its answer to a forwarded request. */
export function* recordForwardAnswer(
  state: State,
  { runner: id, backoffMs, isLeaving }: EventOf<"forward_answered">,
): Effects {
  const runner = state.gateway!.runners.get(id);
  if (runner === undefined) return;
  const { startedUnixMs } = runner;
  const stats = runnerStatsOf(state.gateway!, id);
  if (isLeaving) yield* hearLeaving(state, { id, startedUnixMs });
  if (backoffMs === undefined) endBackoff(stats, state.now);
  else yield* hearBackoff(state, stats, { backoffMs, startedUnixMs });
}

/** Handles the end of a request of another daemon. */
export function endForward(
  { gateway }: State,
  { request }: EventOf<"forward_ended">,
): Effects {
  gateway!.forwarding.inFlight.delete(request);
  return noEffects();
}
