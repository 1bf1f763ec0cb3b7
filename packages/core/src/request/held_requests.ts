/**
 * Applies the quarantine to chat completions: refuses those with a quarantined part, and reports what became of others.
 *
 * @module
 */
import {
  beginTrial,
  describeHold,
  findHeld,
  isCut,
  isTrialDue,
  knownChains,
  recordCut,
  recordServed,
  SOUND_AFTER_MS,
} from "../quarantine/mod.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import { refuseRequest } from "./finish.ts";
import type { Request } from "./types.ts";

/** Returns whether a request has a quarantined part and is not a trial of it. */
export function isHeldBack(
  state: State,
  { crashSuspects, isTrial }: Request,
): boolean {
  return !isTrial && findHeld(state, crashSuspects) !== undefined;
}

/** Refuses a request with a quarantined part. */
export function* refuseHeld(state: State, request: Request): Effects {
  const held = findHeld(state, request.crashSuspects)!;
  const { verdict } = request;
  const refusal = { ...describeHold(held, state.now), verdict };
  yield* refuseRequest(state, request, { refusal });
}

/** Lets a request through as the trial of its quarantined part, where one is due. */
export function* tryHeldPart(state: State, request: Request): Effects {
  const held = findHeld(state, request.crashSuspects);
  if (held === undefined || !isTrialDue(state, held)) return;
  request.isTrial = true;
  yield* beginTrial(state, held, { request: request.request });
}

/** Records what was known of a request's parts when its attempt began. */
export function beginObservation(state: State, request: Request): void {
  request.isSound = false;
  request.chains = knownChains(state.quarantine, request.crashSuspects);
}

/** Reports an attempt that was cut off; the next status check shows whether the engine has crashed. */
export function reportCut(
  state: State,
  request: Request,
  outcome: Outcome,
): void {
  const { target, crashSuspects: parts, chains, isSound } = request;
  if (target === undefined || isSound || !isCut(outcome)) return;
  recordCut(state, {
    runner: target,
    request: request.request,
    parts,
    chains,
    sentAt: request.startedAt ?? request.arrivedAt,
  });
}

/** Reports tokens that arrived; after some time they show that the prompt is sound. */
export function reportProgress(state: State, request: Request): Effects {
  const since = request.firstTokenAt ?? state.now;
  return state.now - since >= SOUND_AFTER_MS
    ? reportServed(state, request)
    : noEffects();
}

/** Reports a request that was served. */
export function* reportServed(state: State, request: Request): Effects {
  if (request.isSound) return;
  request.isSound = true;
  const { request: id, crashSuspects: parts } = request;
  yield* recordServed(state, { request: id, parts });
}
