/**
 * Ejects targets that fail or are much slower than their peers, up to a capped share, and probes them to end ejections.
 *
 * @module
 */
import { expectedStepMs } from "../capacity/batch_model.ts";
import { refreshTarget } from "../capacity/targets.ts";
import type { Effects } from "../reduce_types.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { schedule } from "../util/timer_queue.ts";
import { advanceTarget } from "./machine.ts";
import { endBackoff } from "./backoff.ts";
import {
  hasRecovered,
  isStraggler,
  MAX_CONSECUTIVE_FAILURES,
  mayEject,
  nextEjectionCount,
  nextFactor,
} from "./ejection_rules.ts";

function canEject(state: State, pool: Pool): boolean {
  const maxShare = state.config?.config.policy.ejectionMaxShare ?? 0;
  return mayEject(pool.ejected, pool.targets.size, { maxShare });
}

/** Ejects a target unless the cap is reached. */
export function* ejectTarget(
  state: State,
  target: Target,
  { cause }: { cause: string },
): Effects {
  const pool = state.pools.get(target.deployment);
  if (pool === undefined) return;
  const isCounted = target.phase === "probing";
  if (!isCounted && !canEject(state, pool)) {
    yield {
      kind: "log",
      event: "ejection_capped",
      fields: { target: target.name, cause },
    };
    return;
  }
  if (!advanceTarget(target, "eject")) return;
  if (!isCounted) pool.ejected += 1;
  target.ejections = nextEjectionCount(target.ejections);
  const pauseMs = (state.config?.config.policy.ejectionMs ?? 0) *
    target.ejections;
  target.ejectedUntil = state.now + pauseMs;
  schedule(state.timers, target.ejectedUntil, {
    timer: { kind: "ejection_end", target: target.name },
  });
  refreshTarget(state, target);
  yield {
    kind: "log",
    event: "target_ejected",
    fields: { target: target.name, cause, pauseMs },
  };
}

/** Lets an ejected target accept one request at a time once its ejection ends. */
export function* probeTarget(
  state: State,
  { target: name }: { target: string },
): Effects {
  const target = state.targets.get(name);
  if (target?.phase !== "ejected" || state.now < target.ejectedUntil) return;
  advanceTarget(target, "probe");
  target.failures = 0;
  target.factor = 1;
  target.probes = 0;
  refreshTarget(state, target);
  yield { kind: "log", event: "target_probing", fields: { target: name } };
}

/** Removes a target from the count of ejected ones; called when it leaves the phases `ejected` and `probing`. */
export function decrementEjected(state: State, target: Target): void {
  const pool = state.pools.get(target.deployment);
  if (pool !== undefined) pool.ejected -= 1;
}

function* endEjection(state: State, target: Target): Effects {
  decrementEjected(state, target);
  advanceTarget(target, "confirm");
  target.ejections = 0;
  refreshTarget(state, target);
  yield {
    kind: "log",
    event: "target_serving",
    fields: { target: target.name, cause: "probe succeeded" },
  };
}

/** Records a failed attempt of a target, and ejects the target if needed. */
export function* recordFailure(state: State, target: Target): Effects {
  target.failures += 1;
  if (target.phase === "probing") {
    return yield* ejectTarget(state, target, { cause: "probe failed" });
  }
  if (target.failures >= MAX_CONSECUTIVE_FAILURES) {
    yield* ejectTarget(state, target, { cause: "failures in a row" });
  }
}

/** Records a completed attempt of a target; a probed service has recovered after one. */
export function* recordSuccess(state: State, target: Target): Effects {
  target.failures = 0;
  endBackoff(state, target);
  const isService =
    state.pools.get(target.deployment)?.deployment.kind === "service";
  if (target.phase === "probing" && isService) {
    yield* endEjection(state, target);
  }
}

/** Number of load reports with running requests that a probe needs before the target has recovered. */
const MIN_PROBE_REPORTS = 2;

/** Compares a load report with the step time that the deployment's batch model expects, and ejects stragglers. */
export function* evaluateReport(
  state: State,
  pool: Pool,
  target: Target,
): Effects {
  const report = target.report;
  if (report === undefined || report.running === 0) return;
  const expected = expectedStepMs(pool.model, report.running);
  if (expected === undefined || expected <= 0) return;
  const ratio = report.stepMs / expected;
  target.factor = nextFactor(target.factor, ratio);
  if (target.phase === "probing") {
    return yield* evaluateProbe(state, target, ratio);
  }
  if (isStraggler(target.factor)) {
    yield* ejectTarget(state, target, { cause: "straggler" });
  }
}

function* evaluateProbe(state: State, target: Target, ratio: number): Effects {
  if (isStraggler(ratio)) {
    return yield* ejectTarget(state, target, { cause: "still a straggler" });
  }
  target.probes += 1;
  if (hasRecovered(ratio) && target.probes >= MIN_PROBE_REPORTS) {
    yield* endEjection(state, target);
  }
}
