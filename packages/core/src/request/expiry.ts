/**
 * Ends requests that wait too long, and fails over streams that stall.
 *
 * @module
 */

import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { combineVerdicts, verdictOf } from "../verdict/verdict_table.ts";
import { releaseTarget } from "./attempt.ts";
import { scheduleStallCheck } from "./dispatch.ts";
import { refuseRequest } from "./finish.ts";
import { currentRequest } from "./progress.ts";
import { failOver } from "./retry.ts";
import type { Request } from "./types.ts";

/** Fails over a stream that has made no progress for too long. */
export function* checkStall(
  state: State,
  timer: { request: string; attempt: number },
): Effects {
  const request = currentRequest(state, timer);
  if (request === undefined) return;
  const stallMs = state.config?.config.policy.stallMs ?? 0;
  const target = state.targets.get(request.target ?? "");
  const awaitsFirstToken = request.firstTokenAt === undefined &&
    target?.phase === "serving";
  const maxSilenceMs = awaitsFirstToken
    ? stallMs * FIRST_TOKEN_STALL_FACTOR
    : stallMs;
  if (state.now - request.lastProgressAt < maxSilenceMs) {
    return rescheduleStallCheck(state, request);
  }
  yield* failOver(state, request, { outcome: "response_timeout" });
}

/** Multiple of the stall time that a first token may take while its target serves. */
const FIRST_TOKEN_STALL_FACTOR = 5;

function rescheduleStallCheck(state: State, request: Request): void {
  const stallMs = state.config?.config.policy.stallMs ?? 0;
  const next = {
    ...request,
    lastProgressAt: Math.max(request.lastProgressAt, state.now - stallMs / 2),
  };
  scheduleStallCheck(state, next);
}

/** Ends a request at its deadline, or a queued one after the latest start that meets its first-token target. */
export function* expireRequest(
  state: State,
  { request: id }: { request: string },
): Effects {
  const request = state.requests.get(id);
  if (request === undefined || request.phase === "done") return;
  const due = request.phase === "queued"
    ? Math.min(request.startBy, request.deadlineAt)
    : request.deadlineAt;
  if (state.now < due) return;
  if (request.phase === "running") {
    if (request.deadlineAt > state.now) return;
    yield {
      kind: "cancel",
      request: request.request,
      attempt: request.attempt,
    };
    request.verdict = combineVerdicts(
      request.verdict,
      verdictOf("response_timeout"),
    );
    releaseTarget(state, request);
  }
  yield* refuseRequest(state, request, {
    refusal: expiryRefusal(state, request),
  });
}

function expiryRefusal(state: State, request: Request) {
  const late = state.now >= request.deadlineAt;
  const waitedMs = Math.round(state.now - request.arrivedAt);
  const verdict = request.phase === "waiting"
    ? "may_have_run" as const
    : request.verdict;
  return late
    ? {
      code: "deadline_passed" as const,
      message: `The deadline passed after ${waitedMs} ms`,
      verdict,
    }
    : {
      code: "overloaded" as const,
      message:
        `Not started within ${waitedMs} ms, too late for the first-token target; try again later`,
      verdict,
    };
}
