/**
 * Decides after each failed attempt whether the request is sent again, within a retry budget that all daemons share.
 *
 * @module
 */
import { BLAME_AFTER_FORWARDERS } from "../forwarding/constants.ts";
import { recordForwarderFailure } from "../forwarding/forwarders.ts";
import type { FailureSide, ForwardRefusal } from "../forwarding/types.ts";
import { recordFailureEvidence } from "../load/ejection.ts";
import { recordSuspect } from "../read_sharing/suspects.ts";
import { continueParallel } from "../hedging/mod.ts";
import { findHeld } from "../quarantine/mod.ts";
import type { Effects } from "../reduce_types.ts";
import { isOwnFault, recordConnectionFailure } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import { verdictOf } from "../verdict/verdict_table.ts";
import { chooseDestination, type Destination } from "./choose.ts";
import { runnerStatsOf } from "./runner_stats.ts";
import {
  AVOID_MS,
  MAX_AVOID_MS,
  MAX_LOGGED_PARTS,
  MAX_REJECTED_SENDS,
  MIN_RESUME_WAIT_MS,
  RESUME_SILENCE_MS,
} from "./constants.ts";
import { endRequest, failRequest, logEnd, releaseAttempt } from "./finish.ts";
import {
  BLAMELESS_OUTCOMES,
  PATH_OUTCOMES,
  SUSPICIOUS_OUTCOMES,
  UNSENT_OUTCOMES,
} from "./outcome_sets.ts";
import {
  owesRetry,
  retryBudgetOf,
  retryLimitsOf,
  takeRetryFor,
} from "./retry_allowance.ts";
import { hasRetry, retriesLeft } from "./retry_budget.ts";
import { retryAfterOf } from "./retry_after.ts";
import { canRepeat } from "./routes.ts";
import { joinQueue, sendToRunner } from "./send.ts";
import { mayReturn, readmitShared } from "./shared_admission.ts";
import { hastenSweep } from "./sweep_schedule.ts";
import { hasTime } from "./time_left.ts";
import type { Gateway, RoutedRequest } from "./types.ts";
import { isCutUnread } from "./unread.ts";

/** A failed attempt of a request. */
export interface FailedAttempt {
  request: RoutedRequest;
  outcome: Outcome;
  /** True where the runner's own error response may be relayed to the caller. */
  isRelayable: boolean;
  /** True where its connection was closed or reset. */
  isDisconnect?: boolean;
  /** True where its connection was reset. */
  wasReset?: boolean | undefined;
  /** Where an attempt through a forwarder failed; undefined where it went to the runner directly, or was too slow. */
  side?: FailureSide | undefined;
  /** Why the forwarder refused it, if it did. */
  refusal?: ForwardRefusal | undefined;
}

/** Handles a failed attempt: sends the request to another runner, relays the runner's error response, or fails it. */
export function* failAttempt(
  state: State,
  gateway: Gateway,
  failure: FailedAttempt,
): Effects {
  const { request, outcome, isRelayable, side, refusal } = failure;
  const { currentAttempt } = request;
  const { runner, number: attempt, hasHeaders, progressCount, sentAt } =
    currentAttempt!;
  const stats = runnerStatsOf(gateway, runner);
  const verdict = verdictOf(outcome);
  yield* recordFailure(state, gateway, failure);
  if (verdict !== "not_run") request.mayHaveRun = true;
  if (isUncounted(failure)) request.countedAttempts -= 1;
  const { next, charge } = request.parallelAttempt === undefined
    ? nextStep(state, gateway, failure)
    : { next: { kind: "continue" } as const };
  yield {
    kind: "log",
    event: "attempt_failed",
    fields: {
      request: request.id,
      try: attempt,
      runner,
      forwarder: currentAttempt!.forwarder,
      side,
      refusal,
      outcome,
      reset: failure.wasReset || undefined,
      verdict,
      lastEvent: request.lastEvent,
      inFlight: stats.inFlight,
      hasHeaders,
      progress: progressCount,
      afterMs: Math.round(state.now - sentAt),
      parts: describeParts(request),
      fingerprint: request.fingerprint,
      charge,
      ...describeBudget(state, gateway, request),
    },
  };
  releaseAttempt(state, gateway, request);
  if (next.kind === "continue") return continueParallel(request);
  if (next.kind === "send") {
    return yield* sendToRunner(state, gateway, {
      request,
      ...next.destination,
    });
  }
  if (next.kind === "wait") {
    request.awaitsRetry = charge === "deferred";
    const { lastByteAt: silentSince } = currentAttempt!;
    return yield* waitAgain(state, request, { silentSince });
  }
  if (isRelayable && !request.isRelaying) {
    yield logEnd(state, request, { runner, verdict, outcome });
    yield { kind: "relay", request: request.id, attempt };
    yield { kind: "finish", request: request.id };
    return yield* endRequest(state, gateway, request);
  }
  yield* failRequest(state, gateway, request, {
    code: request.mayHaveRun ? "backend_failed" : "overloaded",
    message: `The last runner failed: ${outcome}`,
    retryAfterMs: retryAfterOf(state, request),
  });
}

/** Returns the parts of a prompt for a log line; undefined where it has none. */
function describeParts({ promptParts }: RoutedRequest): string | undefined {
  if (promptParts.length === 0) return undefined;
  return promptParts.slice(0, MAX_LOGGED_PARTS).join(",");
}

/** Records a failure with what caused it: the forwarder, the path of this daemon, or the runner. */
function* recordFailure(
  state: State,
  gateway: Gateway,
  failure: FailedAttempt,
): Effects {
  const { request, outcome, isRelayable, side, refusal, isDisconnect } =
    failure;
  if (isRelayable || BLAMELESS_OUTCOMES.has(outcome)) return;
  if (isCutUnread(state, request.currentAttempt!, { outcome })) return;
  const { runner, forwarder } = request.currentAttempt!;
  const { service } = request;
  if (neverArrived(failure)) request.unreachedRunners.add(runner);
  const stats = runnerStatsOf(gateway, runner);
  // An attempt through a forwarder that is too slow may be stuck on either side.
  if (forwarder !== undefined && side !== "runner") {
    const cause = refusal ?? "failed";
    yield* recordForwarderFailure(state, { request, forwarder, cause });
    if (side === "forwarder") return;
  }
  if (side === "runner" && UNSENT_OUTCOMES.has(outcome)) {
    const cause = "runner_unreached";
    yield* recordForwarderFailure(state, {
      request,
      forwarder: forwarder!,
      cause,
    });
    stats.unreachedBy.add(forwarder!);
    if (stats.unreachedBy.size < BLAME_AFTER_FORWARDERS) return;
  }
  const isOwnPath = forwarder === undefined && PATH_OUTCOMES.has(outcome);
  const isUnsent = UNSENT_OUTCOMES.has(outcome);
  if (isOwnPath && isUnsent) {
    gateway.unreachableRunners.add(runner);
    request.failedConnects += 1;
  }
  if (isOwnPath && (isUnsent || isDisconnect)) {
    yield* recordConnectionFailure(state, { runner, service });
  }
  const isInDoubt = forwarder !== undefined && side === undefined;
  const isBlamed = !isInDoubt && !(isOwnPath && isOwnFault(gateway, runner));
  if (isBlamed && SUSPICIOUS_OUTCOMES.has(outcome)) {
    recordSuspect(gateway.readSharing, runner);
    yield* recordFailureEvidence(state, runner);
    hastenSweep(state);
  }
  stats.failures += 1;
  const avoidMs = AVOID_MS * 2 ** (stats.failures - 1);
  stats.avoidUntil = state.now + Math.min(MAX_AVOID_MS, avoidMs);
  if (!isOwnPath) stats.avoidForwardedUntil = stats.avoidUntil;
}

/** Returns whether an attempt certainly did not reach its runner. */
function neverArrived({ outcome, side }: FailedAttempt): boolean {
  return UNSENT_OUTCOMES.has(outcome) ||
    (side === "forwarder" && verdictOf(outcome) === "not_run");
}

/** Returns whether the runner or its address rejected the attempt in a way that leaves the route's limit as it was. */
function isUncounted(failure: FailedAttempt): boolean {
  const { request, outcome } = failure;
  if (neverArrived(failure)) return true;
  // A refusal here would cut off a response that the caller already has a part of.
  return request.isRelaying && verdictOf(outcome) === "not_run" &&
    request.attempts < request.route.maxAttempts + MAX_REJECTED_SENDS;
}

/** What follows a failed attempt. */
type NextStep =
  /** The other attempt of a hedged request goes on. */
  | { kind: "continue" }
  | { kind: "send"; destination: Destination }
  /** A stream that broke off, or a request that was turned away, waits for a free slot. */
  | { kind: "wait" }
  | { kind: "end" };

/** How a retry stands to the budget that all daemons share. */
type RetryCharge =
  | "charged"
  /** The failed attempt never arrived, so that the next one is no retry to the runners. */
  | "free"
  /** The budget holds none; a stream that has begun waits for one. */
  | "deferred"
  | "denied";

/** Decides whether the request is sent again, waits, or ends. */
function nextStep(
  state: State,
  gateway: Gateway,
  failure: FailedAttempt,
): { next: NextStep; charge?: RetryCharge } {
  const { request, outcome } = failure;
  // The same would come of it at any other runner.
  if (outcome === "request_unwritable") return { next: { kind: "end" } };
  const { route } = request;
  const mayResend = (!request.mayHaveRun || canRepeat(route)) &&
    request.countedAttempts < route.maxAttempts &&
    hasTime(state, request);
  const isHeld = findHeld(state, request.crashSuspects) !== undefined;
  if (!mayResend || isHeld) return { next: { kind: "end" } };
  const destination = chooseDestination(state, gateway, request, {
    canUseReserved: true,
  });
  const mayWait = request.isRelaying || mayReturn(state, request, outcome);
  if (destination === undefined && !mayWait) return { next: { kind: "end" } };
  const charge = chargeRetry(state, gateway, failure);
  if (charge === "denied") return { next: { kind: "end" }, charge };
  if (charge === "deferred") return { next: { kind: "wait" }, charge };
  const next: NextStep = destination === undefined
    ? { kind: "wait" }
    : { kind: "send", destination };
  return { next, charge };
}

/**
 * Takes a retry from the budget, unless the runners will not see it as one.
 *
 * A stream that has begun loses all that its caller has of it, the more the longer it is. It therefore waits for a
 * retry, and gets it before requests that have not begun.
 */
function chargeRetry(
  state: State,
  gateway: Gateway,
  failure: FailedAttempt,
): RetryCharge {
  const { request } = failure;
  if (neverArrived(failure)) return "free";
  if (!request.isRelaying && owesRetry(gateway, request.service)) {
    return "denied";
  }
  if (takeRetryFor(state, request)) return "charged";
  return request.isRelaying ? "deferred" : "denied";
}

/** Returns what the budget holds for a log line. */
function describeBudget(
  { now }: State,
  gateway: Gateway,
  { service }: RoutedRequest,
) {
  const limits = retryLimitsOf(gateway);
  const left = retriesLeft(retryBudgetOf(gateway, service), now, limits);
  return {
    retriesLeft: Number(left.toFixed(2)),
    retryCapacity: Number(limits.capacity.toFixed(2)),
    daemons: gateway.readSharing.fleetSize?.count,
  };
}

/** Returns whether a request that makes no progress can be sent to another runner now. */
export function canMove(
  state: State,
  gateway: Gateway,
  request: RoutedRequest,
): boolean {
  const { route, countedAttempts, service } = request;
  if (!canRepeat(route) || countedAttempts >= route.maxAttempts) return false;
  if (!hasTime(state, request)) return false;
  const budget = retryBudgetOf(gateway, service);
  if (!hasRetry(budget, state.now, retryLimitsOf(gateway))) return false;
  const destination = chooseDestination(state, gateway, request, {
    canUseReserved: true,
  });
  return destination !== undefined;
}

/** Queues a request that was turned away, or a stream that broke off until a slot is free in which it can be resumed. */
function* waitAgain(
  state: State,
  request: RoutedRequest,
  { silentSince }: { silentSince: number },
): Effects {
  if (!request.isRelaying) return yield* readmitShared(state, request);
  request.waitUntil = Math.max(
    state.now + MIN_RESUME_WAIT_MS,
    silentSince + RESUME_SILENCE_MS,
  );
  joinQueue(state, request);
  hastenSweep(state);
  yield {
    kind: "log",
    event: "resume_waits",
    fields: {
      request: request.id,
      lastEvent: request.lastEvent,
      waitMs: Math.round(request.waitUntil - state.now),
      awaitsRetry: request.awaitsRetry,
    },
  };
}
