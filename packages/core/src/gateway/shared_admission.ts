/**
 * Admits requests to services whose capacity is shared: sends them, lets them wait, or refuses them at once.
 *
 * @module
 */
import { type ExpectedWait, recordWait } from "../admission/expected_wait.ts";
import { findRefused, recordRefused } from "../admission/returns.ts";
import { recordUnmet } from "../admission/shares.ts";
import type { Waiter } from "../admission/types.ts";
import { decideWait } from "../admission/wait_decision.ts";
import {
  levelOf,
  moveToLate,
  recordDemand,
  waitClassOf,
} from "../admission/waiting_queue.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import { failRequest } from "./finish.ts";
import { retryAfterOf } from "./retry_after.ts";
import { hasCandidates, workKey } from "./runner_index.ts";
import { isShared } from "./capacity_policy.ts";
import { joinQueue, serveWaiting } from "./send.ts";
import {
  describeWaiter,
  exceededShares,
  expectedWaitOf,
  sharedQueueOf,
  windowOf,
} from "./shared_queue.ts";
import { hastenSweep } from "./sweep_schedule.ts";
import { latestStartOf } from "./time_left.ts";
import type { RoutedRequest } from "./types.ts";

/** Why a request finds no room. */
type WaitCause = "no_slot" | "over_share" | "runners_paused";

/** Why a request is refused for want of room. */
type CapacityCause =
  | "wait_too_long"
  | "waited_out"
  /** It came back sooner than its caller was told to. */
  | "early_return";

const SHORT_OF_ROOM = "All runners are full; try again";

function causeOf(
  state: State,
  request: RoutedRequest,
  { waiter, expected }: { waiter: Waiter; expected: ExpectedWait },
): WaitCause {
  if (expected.freedPerSecond === 0) return "runners_paused";
  return exceededShares(state, request, waiter) > 0 ? "over_share" : "no_slot";
}

/** Returns an estimate and its inputs for a log line. */
function describeEstimate(expected: ExpectedWait) {
  const { ms, freedPerSecond, ahead, holdingMs, share } = expected;
  return {
    expectedMs: Number.isFinite(ms) ? Math.round(ms) : undefined,
    freedPerSecond: Number(freedPerSecond.toFixed(2)),
    ahead,
    holdingMs: Math.round(holdingMs),
    share: Number(share.toFixed(3)),
  };
}

/** Sends a new request, lets it wait where its first event will likely be of use, or refuses it at once. */
export function* admitShared(state: State, request: RoutedRequest): Effects {
  const gateway = state.gateway!;
  const { now } = state;
  const queue = sharedQueueOf(state, request);
  recordDemand(queue, describeWaiter(state, request), { now });
  joinQueue(state, request);
  yield* serveWaiting(state, gateway, workKey(request));
  const waiter = queue.waiters.get(request.id);
  if (waiter === undefined) return;
  const level = levelOf(queue, request.priority, { now });
  recordUnmet(level, waiter.path, { now });
  const earlier = findRefused(gateway.admission, request, { now });
  if (earlier !== undefined && now < earlier.returnAt) {
    const expected = expectedWaitOf(state, request, waiter);
    const details = { cause: "early_return" as const, expected };
    return yield* refuseForCapacity(state, request, details);
  }
  yield* decide(state, request, waiter);
}

/** Returns whether a request that a runner has turned away may wait for room at another one. */
export function mayReturn(
  state: State,
  request: RoutedRequest,
  outcome: Outcome,
): boolean {
  const gateway = state.gateway!;
  return outcome === "status_not_run" && isShared(gateway, request) &&
    hasCandidates(gateway, request);
}

/** Lets a request that a runner has turned away wait, with the time that has passed, or refuses it. */
export function* readmitShared(
  state: State,
  request: RoutedRequest,
): Effects {
  const { now } = state;
  joinQueue(state, request);
  const queue = sharedQueueOf(state, request);
  const waiter = queue.waiters.get(request.id)!;
  const level = levelOf(queue, request.priority, { now });
  recordUnmet(level, waiter.path, { now });
  hastenSweep(state);
  yield {
    kind: "log",
    event: "request_returned",
    fields: {
      request: request.id,
      route: request.route.name,
      tries: request.attempts,
      tookMs: Math.round(now - request.arrivedAt),
    },
  };
  yield* decide(state, request, waiter);
}

/** Decides whether a request that has found no room waits on. */
function* decide(
  state: State,
  request: RoutedRequest,
  waiter: Waiter,
): Effects {
  const { now } = state;
  const window = windowOf(state, request);
  const expected = expectedWaitOf(state, request, waiter);
  const { ms: expectedMs, soonestMs, ahead } = expected;
  const decision = decideWait(window, { now, expectedMs, soonestMs, ahead });
  const cause = causeOf(state, request, { waiter, expected });
  if (decision === "wait_late" && !waiter.isLate) {
    return yield* waitLate(state, request, waiter);
  }
  if (decision === "refuse") {
    const details = { cause: "wait_too_long" as const, expected, needs: cause };
    return yield* refuseForCapacity(state, request, details);
  }
  waiter.expectedMs ??= expected.ms;
  const isLateUseful = now + expectedMs <= window.lateUntil;
  request.waitUntil = Math.min(
    isLateUseful ? window.lateUntil : window.inTimeUntil,
    latestStartOf(state, request),
  );
  yield {
    kind: "log",
    event: "request_waits",
    fields: {
      request: request.id,
      route: request.route.name,
      cause,
      isLate: waiter.isLate,
      untilMs: Math.round(request.waitUntil - now),
      ...describeEstimate(expected),
    },
  };
}

/** Decides on a request again as one that waits behind all that can still be in time. */
function* waitLate(
  state: State,
  request: RoutedRequest,
  waiter: Waiter,
): Effects {
  const late = moveToLate(sharedQueueOf(state, request), waiter, {
    now: state.now,
  });
  yield* decide(state, request, late);
}

function* refuseForCapacity(
  state: State,
  request: RoutedRequest,
  { cause, expected, needs }: {
    cause: CapacityCause;
    expected: ExpectedWait;
    needs?: WaitCause;
  },
): Effects {
  const { now, gateway } = state;
  const retryAfterMs = retryAfterOf(state, request);
  const { arrivedAt, expiresAt } = request;
  const returnAt = now + retryAfterMs;
  const refusal = { arrivedAt, returnAt, expiresAt };
  recordRefused(gateway!.admission, request, refusal);
  yield {
    kind: "log",
    event: "capacity_refused",
    fields: {
      request: request.id,
      route: request.route.name,
      cause,
      needs,
      waitedMs: Math.round(now - arrivedAt),
      retryAfterMs,
      ...describeEstimate(expected),
    },
  };
  yield* failRequest(state, gateway!, request, {
    code: request.mayHaveRun ? "backend_failed" : "overloaded",
    message: SHORT_OF_ROOM,
    retryAfterMs,
  });
}

/** Decides on a waiting request with each sweep: once it has become late, and once waiting on is of no use. */
export function* checkSharedWait(
  state: State,
  request: RoutedRequest,
  waiter: Waiter,
): Effects {
  const { now, gateway } = state;
  if (!hasCandidates(gateway!, request)) {
    return yield* failRequest(state, gateway!, request, {
      code: "no_capacity",
      message: "No runner serves this at the moment; try again",
      retryAfterMs: retryAfterOf(state, request),
    });
  }
  const queue = sharedQueueOf(state, request);
  if (now >= request.waitUntil) {
    recordWait(queue, {
      waitClass: waitClassOf(waiter),
      expectedMs: waiter.expectedMs ?? Infinity,
      waitedMs: now - waiter.since,
      isServed: false,
    });
    const expected = expectedWaitOf(state, request, waiter);
    const details = { cause: "waited_out" as const, expected };
    return yield* refuseForCapacity(state, request, details);
  }
  const isOverdue = now > windowOf(state, request).inTimeUntil;
  if (!waiter.isLate && isOverdue) yield* waitLate(state, request, waiter);
}
