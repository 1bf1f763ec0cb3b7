/**
 * Applies the quarantine to requests: refuses those that are quarantined or have a quarantined part, and reports what became of the others.
 *
 * @module
 */
import {
  beginTrial,
  confirmCrash,
  describeHold,
  findHeld,
  isCut,
  isTrialDue,
  recordCut,
  recordServed,
  SOUND_AFTER_MS,
} from "../quarantine/mod.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import { isOwnFault } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import type { Refusal } from "./lookup.ts";
import { isStream } from "./routes.ts";
import type { RoutedRequest } from "./types.ts";

/** Returns why a request with a quarantined part is refused; undefined where it may be sent. */
export function quarantineRefusal(
  state: State,
  { crashSuspects, isTrial }: Pick<RoutedRequest, "crashSuspects" | "isTrial">,
): Refusal | undefined {
  if (isTrial) return undefined;
  const held = findHeld(state, crashSuspects);
  if (held === undefined) return undefined;
  return describeHold(held, state.now);
}

/** Lets a request through as the trial of its quarantined part, where one is due. */
export function* tryHeldPart(state: State, request: RoutedRequest): Effects {
  const held = findHeld(state, request.crashSuspects);
  if (held === undefined || !isTrialDue(state, held)) return;
  request.isTrial = true;
  yield* beginTrial(state, held, { request: request.id });
}

/** Reports an attempt whose connection failed, and checks whether its runner has crashed. */
export function* reportCut(
  state: State,
  request: RoutedRequest,
  outcome: Outcome,
): Effects {
  const { runner, isSound, chains, sentAt, forwarder } = request
    .currentAttempt!;
  // A cut of this daemon's own network looks like a crash of every runner.
  if (forwarder === undefined && isOwnFault(state.gateway!, runner)) return;
  if (outcome === "connect_refused") {
    // A forwarder that cannot connect may be cut off itself.
    if (forwarder === undefined) yield* confirmCrash(state, runner);
    return;
  }
  if (isSound || !isCut(outcome)) return;
  const cut = {
    runner,
    request: request.id,
    parts: request.crashSuspects,
    chains,
    sentAt,
  };
  if (!recordCut(state, cut)) return;
  const address = state.gateway!.runners.get(runner)?.address;
  if (address === undefined) return yield* confirmCrash(state, runner);
  yield { kind: "check_runner", runner, address };
}

/** Reports a response that has been arriving for long enough to show that the prompt is sound. */
export function reportProgress(state: State, request: RoutedRequest): Effects {
  const attempt = request.currentAttempt!;
  const isLong = state.now - attempt.headersAt >= SOUND_AFTER_MS;
  return isLong ? reportServed(state, request) : noEffects();
}

/** Reports a complete response; a stream without an event shows nothing. */
export function reportCompletion(
  state: State,
  request: RoutedRequest,
): Effects {
  const isEmpty = isStream(request.route) &&
    request.currentAttempt!.progressCount === 0;
  return isEmpty ? noEffects() : reportServed(state, request);
}

function* reportServed(state: State, request: RoutedRequest): Effects {
  const attempt = request.currentAttempt!;
  if (attempt.isSound) return;
  attempt.isSound = true;
  yield* recordServed(state, {
    request: request.id,
    parts: request.crashSuspects,
  });
}
