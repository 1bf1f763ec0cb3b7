/**
 * Records which runners are cold until when. A time is counted from when this daemon hears of it, so that a late message
 * leaves a runner cold for longer, and never for a shorter time.
 *
 * @module
 */
import type { RunnerReport } from "../formation/types.ts";
import type { Runner } from "../gateway/types.ts";
import { ownsRunner } from "../pacing/ownership.ts";
import { spreadFirstSend } from "../pacing/cold_pace.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { coldStartOf, isCold } from "./cold_runners.ts";
import type { ColdCause, ColdRunner } from "./types.ts";

interface ColdReport {
  /** Time for which the runner is cold from now on, ms. */
  forMs: number;
  cause: ColdCause;
  isAssumed: boolean;
}

/** Returns whether an entry was written after the one that is known. */
function isNewEntry(known: Runner | undefined, read: Runner): boolean {
  if (known === undefined) return true;
  if (known.startedUnixMs !== read.startedUnixMs) return true;
  const { writeCount } = read;
  if (writeCount === undefined || known.writeCount === undefined) {
    return read.coldForMs !== known.coldForMs;
  }
  return writeCount > known.writeCount;
}

/** Records what the entry of a runner says of its cold start; `known` is the entry before. */
export function* recordEntry(
  state: State,
  { known, read }: { known: Runner | undefined; read: Runner },
): Effects {
  if (!isNewEntry(known, read)) return;
  const { coldForMs = 0, service, startedUnixMs } = read;
  if (coldForMs > 0) {
    const report = { forMs: coldForMs, cause: "entry", isAssumed: false };
    return yield* recordCold(state, read, report as ColdReport);
  }
  if (known === undefined || known.startedUnixMs === startedUnixMs) return;
  const durationMs = coldStartOf(state.gateway!, service)?.durationMs;
  if (durationMs === undefined) return;
  yield* recordCold(state, read, {
    forMs: durationMs,
    cause: "new_process",
    isAssumed: true,
  });
}

/** Records what the answer of a runner to a health check says of its cold start. */
export function* recordColdReport(
  state: State,
  { runner: id, report }: { runner: string; report: RunnerReport | undefined },
): Effects {
  const runner = state.gateway!.runners.get(id);
  const forMs = report?.coldForMs ?? 0;
  if (runner === undefined || forMs <= 0) return;
  yield* recordCold(state, runner, {
    forMs,
    cause: "health_check",
    isAssumed: false,
  });
}

/**
 * Makes all runners of an availability zone count as cold after its evacuation was lifted, until they say for how long
 * they are.
 *
 * @example
 * ```ts
 * yield* coolZone(state, "suva-a"); // whether they are cold is not known until their entries are read
 * ```
 */
export function* coolZone(state: State, zone: string): Effects {
  const gateway = state.gateway!;
  let count = 0;
  for (const runner of gateway.runners.values()) {
    if (runner.zone !== zone) continue;
    const durationMs = coldStartOf(gateway, runner.service)?.durationMs;
    if (durationMs === undefined) continue;
    count += 1;
    yield* recordCold(state, runner, {
      forMs: durationMs,
      cause: "evacuation_lifted",
      isAssumed: true,
    });
  }
  if (count === 0) return;
  yield { kind: "log", event: "zone_cold", fields: { zone, runners: count } };
}

/** Returns the time until which a runner counts as cold after a report. */
function nextEnd(
  before: ColdRunner | undefined,
  { startedUnixMs, until, isAssumed }: Omit<ColdRunner, "isReported">,
): number {
  if (before === undefined || startedUnixMs > before.startedUnixMs) {
    return until;
  }
  const isSameProcess = startedUnixMs === before.startedUnixMs;
  if (isSameProcess && before.isAssumed && !isAssumed) return until;
  return Math.max(before.until, until);
}

function* recordCold(
  state: State,
  runner: Runner,
  { forMs, cause, isAssumed }: ColdReport,
): Effects {
  const { gateway, now } = state;
  const { coldRunners } = gateway!;
  const { id, service } = runner;
  const before = coldRunners.get(id);
  const wasCold = isCold(state, runner);
  const startedUnixMs = Math.max(
    runner.startedUnixMs,
    before?.startedUnixMs ?? runner.startedUnixMs,
  );
  const until = nextEnd(before, {
    startedUnixMs: runner.startedUnixMs,
    until: now + forMs,
    isAssumed,
  });
  coldRunners.set(id, { startedUnixMs, until, isAssumed, isReported: false });
  if (wasCold || coldStartOf(gateway!, service) === undefined) return;
  spreadFirstSend(state, runner);
  yield {
    kind: "log",
    event: "runner_cold",
    fields: {
      runner: id,
      cause,
      forMs: Math.round(until - now),
      isOwner: ownsRunner(state, runner),
    },
  };
}

/** Reports runners that have turned warm, and forgets them once their share of the requests has grown to the usual one. */
export function* sweepColdRunners(state: State): Effects {
  const { gateway, now } = state;
  const { coldRunners, pacing, runners } = gateway!;
  for (const [id, cold] of coldRunners) {
    if (now < cold.until) continue;
    const service = runners.get(id)?.service;
    const coldStart = service === undefined
      ? undefined
      : coldStartOf(gateway!, service);
    if (coldStart !== undefined && !cold.isReported) {
      cold.isReported = true;
      yield { kind: "log", event: "runner_warm", fields: { runner: id } };
    }
    if (now < cold.until + (coldStart?.durationMs ?? 0)) continue;
    coldRunners.delete(id);
    pacing.nodesAhead.delete(id);
  }
}
