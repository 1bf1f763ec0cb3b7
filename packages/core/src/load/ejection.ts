/**
 * Ejects runners that fail or are slow on evidence from several daemons of a zone, and readmits them by trial requests.
 *
 * The rules are those of the product's own path (`health/ejection_rules.ts`). Health answers don't count: a good one is
 * no proof of serving, a bad one none of failing. What one daemon alone has observed only makes itself avoid a runner.
 *
 * @module
 */
import {
  hasRecovered,
  isStraggler,
  mayEject,
  nextEjectionCount,
  nextFactor,
} from "../health/ejection_rules.ts";
import { candidatesFor } from "../gateway/runner_index.ts";
import type { Gateway, Runner } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import { isPathLost } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import {
  EJECTION_JITTER,
  EJECTION_MS,
  EVIDENCE_MS,
  MAX_EJECTED_SHARE,
  MAX_EVIDENCE_PER_MESSAGE,
  MAX_EVIDENCE_SOURCES,
  MIN_EVIDENCE_SOURCES,
  TRIAL_MS,
} from "./constants.ts";
import { isShared } from "../gateway/capacity_policy.ts";
import { nodeOf, runnerLoadOf } from "./runner_loads.ts";
import type { Ejection, PendingEvidence, RunnerEvidence } from "./types.ts";

/** Returns whether a runner may get a request: it is not ejected, or the next trial request is due. */
export function mayUse(
  { phase, until, triedAt }: Ejection,
  now: number,
): boolean {
  if (phase === "serving") return true;
  return now >= until && now - triedAt >= TRIAL_MS;
}

/**
 * Forgets what was observed against a runner whose process or group has changed, since it was observed of another one:
 * a group that had lost a member serves again once it is repaired.
 */
export function forgetEvidence({ gateway }: State, runner: string): void {
  const ejection = gateway!.loadSharing.runnerLoads.get(runner)?.ejection;
  if (ejection === undefined) return;
  ejection.phase = "serving";
  ejection.count = 0;
  ejection.factor = 1;
  ejection.evidence.clear();
}

/** Records a request that is sent to a runner, which is a trial request where the runner was ejected. */
export function recordTrial(state: State, runner: string): void {
  const { ejection } = runnerLoadOf(state, runner);
  if (ejection.phase === "serving") return;
  ejection.phase = "trial";
  ejection.triedAt = state.now;
}

/** Records a failure of a runner, for which neither this daemon nor the request is to blame. */
export function* recordFailureEvidence(state: State, id: string): Effects {
  const gateway = state.gateway!;
  const runner = gateway.runners.get(id);
  if (runner === undefined || !isShared(gateway, runner)) return;
  yield* recordEvidence(state, runner);
}

/** Records the ratio of the time to the first event that this daemon observed to the expected one. */
export function* recordRatio(
  state: State,
  id: string,
  ratio: number,
): Effects {
  const runner = state.gateway!.runners.get(id);
  if (runner === undefined) return;
  const { ejection } = runnerLoadOf(state, id);
  // The answer to a request from before the ejection.
  if (ejection.phase === "ejected") return;
  if (ejection.phase === "trial") {
    if (hasRecovered(ratio)) yield* readmit(state, id);
    else if (isStraggler(ratio)) {
      yield* recordEvidence(state, runner);
    }
    return;
  }
  ejection.factor = nextFactor(ejection.factor, ratio);
  if (isStraggler(ejection.factor)) yield* recordEvidence(state, runner);
}

/** Handles what other daemons have observed. */
export function* applyEvidence(
  state: State,
  evidence: readonly RunnerEvidence[],
): Effects {
  const gateway = state.gateway!;
  const { readSharing, loadSharing } = gateway;
  for (const each of evidence.slice(0, MAX_EVIDENCE_PER_MESSAGE)) {
    const { node, ageMs } = each;
    const runner = gateway.runners.get(each.runner);
    if (runner === undefined || !isShared(gateway, runner)) continue;
    if (node === nodeOf(state) || ageMs > EVIDENCE_MS) continue;
    const at = state.now - ageMs;
    const knownAt = runnerLoadOf(state, runner.id).ejection.evidence.get(node);
    if (knownAt !== undefined && at <= knownAt + MIN_EVIDENCE_GAP_MS) continue;
    if (readSharing.isReading) {
      loadSharing.newEvidence.push({ runner: runner.id, node, at });
    }
    yield* addEvidence(state, runner, { node, at });
  }
}

/** Evidence of one daemon counts again after this time; the same piece that comes twice is taken for one, ms. */
const MIN_EVIDENCE_GAP_MS = 50;

/** Takes the evidence that is to be passed on now; none of a service to which this daemon's own path is lost. */
export function takeEvidence({ gateway, now }: State): RunnerEvidence[] {
  const { newEvidence } = gateway!.loadSharing;
  return newEvidence.splice(0).filter((each) => isPassedOn(gateway!, each))
    .slice(-MAX_EVIDENCE_PER_MESSAGE)
    .map(({ runner, node, at }) => ({
      runner,
      node,
      ageMs: Math.round(now - at),
    }));
}

function isPassedOn(
  gateway: Gateway,
  { runner: id }: PendingEvidence,
): boolean {
  const service = gateway.runners.get(id)?.service;
  return service !== undefined && !isPathLost(gateway, service);
}

function* recordEvidence(state: State, runner: Runner): Effects {
  const { ejection } = runnerLoadOf(state, runner.id);
  const evidence = { node: nodeOf(state), at: state.now };
  state.gateway!.loadSharing.newEvidence.push({
    runner: runner.id,
    ...evidence,
  });
  if (ejection.phase === "trial") {
    return yield* eject(state, runner, { cause: "trial failed" });
  }
  yield* addEvidence(state, runner, evidence);
}

function* addEvidence(
  state: State,
  runner: Runner,
  { node, at }: { node: string; at: number },
): Effects {
  const { evidence, phase } = runnerLoadOf(state, runner.id).ejection;
  for (const [source, time] of evidence) {
    if (state.now - time > EVIDENCE_MS) evidence.delete(source);
  }
  evidence.delete(node);
  evidence.set(node, at);
  if (evidence.size > MAX_EVIDENCE_SOURCES) {
    evidence.delete(evidence.keys().next().value!);
  }
  if (phase !== "serving" || evidence.size < MIN_EVIDENCE_SOURCES) return;
  yield* eject(state, runner, { cause: "evidence" });
}

function* eject(
  state: State,
  runner: Runner,
  { cause }: { cause: "evidence" | "trial failed" },
): Effects {
  const { ejection } = runnerLoadOf(state, runner.id);
  const { ejected, total } = countEjected(state, runner);
  const sources = ejection.evidence.size;
  const isCounted = ejection.phase !== "serving";
  const maxShare = MAX_EJECTED_SHARE;
  if (!isCounted && !mayEject(ejected, total, { maxShare })) {
    ejection.evidence.clear();
    return yield {
      kind: "log",
      event: "runner_eject_capped",
      fields: { runner: runner.id, sources, ejected, total },
    };
  }
  ejection.count = nextEjectionCount(ejection.count);
  const pauseMs = EJECTION_MS * ejection.count *
    (1 + EJECTION_JITTER * nextFloat(state.random));
  ejection.phase = "ejected";
  ejection.until = state.now + pauseMs;
  ejection.factor = 1;
  ejection.evidence.clear();
  yield {
    kind: "log",
    event: "runner_ejected",
    fields: { runner: runner.id, cause, sources, pauseMs: Math.round(pauseMs) },
  };
}

/** Counts the groups of a runner's model, and those of them that are ejected or on trial. */
function countEjected(
  { gateway }: State,
  { service, model }: Runner,
): { ejected: number; total: number } {
  let ejected = 0;
  let total = 0;
  for (const { id } of candidatesFor(gateway!, { service, model })) {
    total += 1;
    const load = gateway!.loadSharing.runnerLoads.get(id);
    if (load !== undefined && load.ejection.phase !== "serving") ejected += 1;
  }
  return { ejected, total };
}

function* readmit(state: State, runner: string): Effects {
  forgetEvidence(state, runner);
  yield { kind: "log", event: "runner_readmitted", fields: { runner } };
}
