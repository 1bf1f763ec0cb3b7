/**
 * Holds back requests with a quarantined part, and now and then lets one of them through as a trial.
 *
 * @module
 */
import { isLeader } from "../formation/leadership.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  FIRST_TRIAL_MS,
  MAX_TRIAL_INTERVAL_MS,
  TRIAL_BACKOFF,
} from "./constants.ts";
import { isWholeRequest } from "./crash_suspects.ts";
import { shareRecords } from "./sharing.ts";
import { isHeld, logRecord, setRecord, touchSuspect } from "./suspects.ts";
import type { SuspectPart } from "./types.ts";

/** Returns the quarantined part of a prompt, if it has one. */
export function findHeld(
  { quarantine, now }: State,
  parts: readonly string[],
): SuspectPart | undefined {
  if (quarantine.suspects.size === 0) return undefined;
  for (const part of parts) {
    const suspect = quarantine.suspects.get(part);
    if (suspect === undefined || !isHeld(suspect.record)) continue;
    touchSuspect(quarantine, suspect, now);
    return suspect;
  }
  return undefined;
}

/** Returns the time until a quarantined part is tried again, ms. */
export function untilTrial(
  { record, heldSince }: SuspectPart,
  now: number,
): number {
  const intervalMs = Math.min(
    MAX_TRIAL_INTERVAL_MS,
    FIRST_TRIAL_MS * TRIAL_BACKOFF ** record.trials,
  );
  return Math.max(0, heldSince + intervalMs - now);
}

/** Returns why a request with a quarantined part is refused, and when it is worth another try. */
export function describeHold(suspect: SuspectPart, now: number) {
  const { part } = suspect.record;
  const retryAfterMs = Math.ceil(untilTrial(suspect, now));
  if (isWholeRequest(part)) {
    return {
      code: "request_quarantined" as const,
      message:
        "This request has crashed every server that ran it; change it, or come back later",
      retryAfterMs,
    };
  }
  return {
    code: "prompt_quarantined" as const,
    message:
      `Part ${part} of the prompt has crashed every server that answered it; send the request without it`,
    retryAfterMs,
  };
}

/** Returns whether this daemon is the one that tries quarantined parts. */
function isTrier({ gateway, node, peers, now }: State): boolean {
  if (gateway !== undefined) {
    return isLeader(gateway.groupPlanner.leadership, now);
  }
  return [...peers.keys()].every((peer) => node.name < peer);
}

/** Returns whether a request may go through as a trial of a quarantined part. */
export function isTrialDue(state: State, suspect: SuspectPart): boolean {
  return isTrier(state) && untilTrial(suspect, state.now) === 0;
}

/** Records a trial, and shares it so that no other daemon tries the part as well. */
export function* beginTrial(
  state: State,
  suspect: SuspectPart,
  { request }: { request: string },
): Effects {
  const { quarantine, now } = state;
  const record = { ...suspect.record, trials: suspect.record.trials + 1 };
  setRecord(quarantine, record, { now });
  yield logRecord(record, { event: "part_tried", cause: "due", request });
  yield* shareRecords(state, [record]);
}
