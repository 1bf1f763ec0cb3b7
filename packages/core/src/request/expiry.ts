/**
 * Ends what waits too long, and fails over streams that stand still.
 *
 * @module
 */

import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { combineVerdicts, verdictOf } from "../verdict/verdict_table.ts";
import { refuseRequest } from "./answer.ts";
import { releaseTarget } from "./attempt.ts";
import { scheduleStall } from "./dispatch.ts";
import { currentRequest } from "./progress.ts";
import { failOver } from "./retry.ts";
import type { Request } from "./types.ts";

/** Fails over a stream that has stood still for too long. */
export function* checkStall(
  state: State,
  timer: { request: string; attempt: number },
): Effects {
  const request = currentRequest(state, timer);
  if (request === undefined) return;
  const stallMs = state.config?.config.policy.stallMs ?? 0;
  const target = state.targets.get(request.target ?? "");
  const waitsForFirst = request.firstTokenAt === undefined &&
    target?.phase === "serving";
  const patienceMs = waitsForFirst ? stallMs * FIRST_TOKEN_PATIENCE : stallMs;
  if (state.now - request.lastProgressAt < patienceMs) {
    return scheduleStallAgain(state, request);
  }
  yield* failOver(state, request, { outcome: "response_timeout" });
}

/** A first token may take this many stall times while its group is otherwise well. */
const FIRST_TOKEN_PATIENCE = 5;

function scheduleStallAgain(state: State, request: Request): void {
  const stallMs = state.config?.config.policy.stallMs ?? 0;
  const next = {
    ...request,
    lastProgressAt: Math.max(request.lastProgressAt, state.now - stallMs / 2),
  };
  scheduleStall(state, next);
}

/** Ends what is still waiting at its deadline, or past the time at which a start would still help. */
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
  const waited = Math.round(state.now - request.arrivedAt);
  const verdict = request.phase === "waiting"
    ? "may_have_run" as const
    : request.verdict;
  return late
    ? {
      code: "deadline_passed" as const,
      message: `The deadline passed after ${waited} ms`,
      verdict,
    }
    : {
      code: "overloaded" as const,
      message: `No room within ${waited} ms, too late for the target`,
      verdict,
    };
}
