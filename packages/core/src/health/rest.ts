/**
 * Keeps requests from targets that have turned one away and said for how long they want none.
 *
 * @module
 */
import { refreshTarget } from "../capacity/targets.ts";
import type { Effects } from "../reduce_types.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import { schedule } from "../util/timer_queue.ts";

/** Longest time for which a target gets no requests since it asked for that, ms. */
const MAX_REST_MS = 3_600_000;
/** Part by which entry VMs and callers that wait for the same target spread their return. */
const REST_JITTER = 0.1;

/** Keeps new requests from a target until it has had its rest; the longest time that it has asked for counts. */
export function* restTarget(
  state: State,
  target: Target,
  restMs: number,
): Effects {
  const ms = Math.min(MAX_REST_MS, restMs);
  const until = state.now + ms * (1 + REST_JITTER * nextFloat(state.random));
  target.restUntil = Math.max(target.restUntil ?? until, until);
  schedule(state.timers, target.restUntil, {
    timer: { kind: "rest_end", target: target.name },
  });
  refreshTarget(state, target);
  yield {
    kind: "log",
    event: "runner_rests",
    fields: {
      target: target.name,
      restMs: Math.round(ms),
      untilMs: Math.round(target.restUntil - state.now),
      inFlight: target.attempts.size,
    },
  };
}

/** Ends the caution after a rest: the target has answered, or another process has taken its place. */
export function endRest(state: State, target: Target): void {
  if (target.restUntil === undefined) return;
  target.restUntil = undefined;
  refreshTarget(state, target);
}

/** Returns the time after which a refused caller of a pool whose targets all rest should come back, ms; undefined where one does not. */
export function poolRestLeft(state: State, pool: Pool): number | undefined {
  let first = Infinity;
  for (const name of pool.targets) {
    const target = state.targets.get(name);
    if (target === undefined || target.phase !== "serving") continue;
    const { restUntil = -Infinity } = target;
    if (restUntil <= state.now) return undefined;
    first = Math.min(first, restUntil);
  }
  if (!Number.isFinite(first)) return undefined;
  const left = first - state.now;
  return Math.ceil(left * (1 + REST_JITTER * nextFloat(state.random)));
}
