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
const MAX_BACKOFF_MS = 3_600_000;
/** Part by which entry VMs and callers that wait for the same target spread their return. */
const BACKOFF_JITTER = 0.1;

/** Keeps new requests from a target until it has had its back-off; the longest time that it has asked for counts. */
export function* backOffTarget(
  state: State,
  target: Target,
  backoffMs: number,
): Effects {
  const ms = Math.min(MAX_BACKOFF_MS, backoffMs);
  const until = state.now + ms * (1 + BACKOFF_JITTER * nextFloat(state.random));
  target.backoffUntil = Math.max(target.backoffUntil ?? until, until);
  schedule(state.timers, target.backoffUntil, {
    timer: { kind: "backoff_end", target: target.name },
  });
  refreshTarget(state, target);
  yield {
    kind: "log",
    event: "runner_backoff",
    fields: {
      target: target.name,
      backoffMs: Math.round(ms),
      untilMs: Math.round(target.backoffUntil - state.now),
      inFlight: target.attempts.size,
    },
  };
}

/** Ends the caution after a back-off, since the target has answered; an answer during it says nothing. */
export function endBackoff(state: State, target: Target): void {
  const { backoffUntil = Infinity } = target;
  if (state.now >= backoffUntil) forgetBackoff(state, target);
}

/** Drops a back-off, since another process has taken the place of the one that asked for it. */
export function forgetBackoff(state: State, target: Target): void {
  if (target.backoffUntil === undefined) return;
  target.backoffUntil = undefined;
  refreshTarget(state, target);
}

/** Returns the time after which a refused caller of a pool whose targets all ask for a back-off should come back, ms; undefined where one does not. */
export function poolBackoffLeft(state: State, pool: Pool): number | undefined {
  let first = Infinity;
  for (const name of pool.targets) {
    const target = state.targets.get(name);
    if (target === undefined || target.phase !== "serving") continue;
    const { backoffUntil = -Infinity } = target;
    if (backoffUntil <= state.now) return undefined;
    first = Math.min(first, backoffUntil);
  }
  if (!Number.isFinite(first)) return undefined;
  const left = first - state.now;
  return Math.ceil(left * (1 + BACKOFF_JITTER * nextFloat(state.random)));
}
