/**
 * Collects the evidence for and against parts of prompts: crashes of runners, and requests that were served.
 *
 * A crash counts only once the runner has proved to be gone, since connections also break for other reasons. It
 * lengthens the chain of a part only where its request was sent after the crash before was known, so that runners that
 * fail together, or whatever else ran on them, count once. A request that is served ends the suspicion of its parts.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import {
  CONFIRM_WITHIN_MS,
  MAX_PENDING_CRASHES,
  MAX_SERVED_PARTS,
  QUARANTINE_AFTER_CRASHES,
  SERVED_RECENTLY_MS,
} from "./constants.ts";
import { shareRecords } from "./sharing.ts";
import { isHeld, logRecord, setRecord } from "./suspects.ts";
import type { PartRecord, PendingCrash, Quarantine } from "./types.ts";

/** Outcomes that a crash of the runner causes, among other things. */
const CUT_OUTCOMES: ReadonlySet<Outcome> = new Set([
  "body_cut_off",
  "reset_after_send",
]);

/** Returns whether an attempt with this outcome may have ended by a crash of its runner. */
export function isCut(outcome: Outcome): boolean {
  return CUT_OUTCOMES.has(outcome);
}

/** Records an attempt whose connection was cut; returns whether its runner is to be checked for it. */
export function recordCut(
  { quarantine, now }: State,
  cut: Omit<PendingCrash, "at">,
): boolean {
  if (cut.parts.length === 0) return false;
  const pending = quarantine.pendingCrashes.filter(({ at }) =>
    now - at <= CONFIRM_WITHIN_MS
  );
  const isFirst = !pending.some(({ runner, at }) =>
    runner === cut.runner && at === now
  );
  pending.push({ ...cut, at: now });
  quarantine.pendingCrashes = pending.slice(-MAX_PENDING_CRASHES);
  return isFirst;
}

function takePending(quarantine: Quarantine, runner: string): PendingCrash[] {
  const taken = quarantine.pendingCrashes.filter((each) =>
    each.runner === runner
  );
  if (taken.length === 0) return taken;
  quarantine.pendingCrashes = quarantine.pendingCrashes.filter((each) =>
    each.runner !== runner
  );
  return taken;
}

/** Handles the proof that a runner has crashed. */
export function* confirmCrash(state: State, runner: string): Effects {
  for (const crash of takePending(state.quarantine, runner)) {
    if (state.now - crash.at > CONFIRM_WITHIN_MS) continue;
    yield* blameParts(state, crash);
  }
}

/** Handles the proof that a runner lives, so that something else cut its connections. */
export function dismissCuts({ quarantine }: State, runner: string): void {
  takePending(quarantine, runner);
}

/**
 * Returns the record that a crash makes of a part's; undefined where a request has been served since the send.
 *
 * A retry leaves before the crash of the attempt before is proved, and is a link of its own nevertheless.
 */
function lengthenChain(
  { suspects }: Quarantine,
  part: string,
  { chains, sentAt }: PendingCrash,
): PartRecord | undefined {
  const atSend = chains.get(part) ?? { part, round: 0, crashes: 0, trials: 0 };
  const suspect = suspects.get(part);
  const known = suspect?.record ?? atSend;
  if (known.round !== atSend.round) return undefined;
  const isNext = suspect === undefined || sentAt >= suspect.crashedAt;
  const before = isNext ? known.crashes : atSend.crashes;
  return { ...known, crashes: Math.max(known.crashes, before + 1) };
}

/** Returns the records that a crash changes, those of the parts that come later in the prompt first. */
function findBlamed(
  { quarantine, now }: State,
  crash: PendingCrash,
): PartRecord[] {
  const { suspects, servedAt } = quarantine;
  const parts = [...new Set(crash.parts)].reverse();
  const held = parts.filter((part) => isHeld(suspects.get(part)?.record));
  const isUnserved = (part: string) =>
    now - (servedAt.get(part) ?? -Infinity) > SERVED_RECENTLY_MS;
  // A part that is known to crash runners explains the crash.
  const candidates = held.length > 0 ? held : parts.filter(isUnserved);
  return candidates.flatMap((part) =>
    lengthenChain(quarantine, part, crash) ?? []
  );
}

/** Charges a crash to the parts of a prompt that may have caused it; at most one of them is quarantined for it. */
function* blameParts(state: State, crash: PendingCrash): Effects {
  const { quarantine, now } = state;
  const { runner, request } = crash;
  const blamed = findBlamed(state, crash);
  const isNewlyHeld = (record: PartRecord) =>
    isHeld(record) && !isHeld(quarantine.suspects.get(record.part)?.record);
  const culprit = blamed.find(isNewlyHeld);
  const changed: PartRecord[] = [];
  for (const each of blamed) {
    const isAccomplice = isNewlyHeld(each) && each !== culprit;
    const record = isAccomplice
      ? { ...each, crashes: QUARANTINE_AFTER_CRASHES - 1 }
      : each;
    const { at: crashedAt } = crash;
    if (!setRecord(quarantine, record, { now, crashedAt })) continue;
    changed.push(record);
    yield logRecord(record, {
      event: record === culprit ? "part_quarantined" : "part_suspected",
      cause: "crash",
      runner,
      request,
    });
  }
  yield* shareRecords(state, changed);
}

/** Records a request that was served, which shows that none of the parts of its prompt crashes runners. */
export function* recordServed(
  state: State,
  { request, parts }: { request: string; parts: readonly string[] },
): Effects {
  const { quarantine, now } = state;
  const { suspects, servedAt } = quarantine;
  const cleared: PartRecord[] = [];
  for (const part of parts) {
    servedAt.delete(part);
    servedAt.set(part, now);
    if (servedAt.size > MAX_SERVED_PARTS) {
      servedAt.delete(servedAt.keys().next().value!);
    }
    const known = suspects.get(part)?.record;
    if (known === undefined || known.crashes === 0) continue;
    const record = { part, round: known.round + 1, crashes: 0, trials: 0 };
    setRecord(quarantine, record, { now });
    cleared.push(record);
    yield logRecord(record, {
      event: "part_cleared",
      cause: "served",
      request,
    });
  }
  yield* shareRecords(state, cleared);
}
