/**
 * Maps the outcomes of attempts to verdicts, and combines the verdicts of one request.
 *
 * @module
 */
import type { Outcome, Verdict } from "./types.ts";

/** Verdict of each outcome of an attempt. */
export const VERDICTS: Readonly<Record<Outcome, Verdict>> = {
  connect_refused: "not_run",
  connect_timeout: "not_run",
  tls_failed: "not_run",
  reset_before_send: "not_run",
  request_unwritable: "not_run",
  reset_after_send: "may_have_run",
  response_timeout: "may_have_run",
  body_cut_off: "may_have_run",
  broken_frame: "may_have_run",
  foreign_answer: "may_have_run",
  status_not_run: "not_run",
  status_error: "may_have_run",
  queue_timeout: "not_run",
  caller_gone_queued: "not_run",
  caller_gone_running: "may_have_run",
  cancelled: "may_have_run",
  completed: "ran",
};

const VERDICT_STRENGTH: Readonly<Record<Verdict, number>> = {
  not_run: 0,
  may_have_run: 1,
  ran: 2,
};

/**
 * Returns the verdict of an attempt by its outcome.
 *
 * @example
 * ```ts
 * verdictOf("connect_refused"); // "not_run"
 * verdictOf("reset_after_send"); // "may_have_run"
 * ```
 */
export function verdictOf(outcome: Outcome): Verdict {
  return VERDICTS[outcome];
}

/** Combines the verdicts of two attempts at one request: `ran` prevails over `may_have_run`, that over `not_run`. */
export function combineVerdicts(left: Verdict, right: Verdict): Verdict {
  return VERDICT_STRENGTH[left] >= VERDICT_STRENGTH[right] ? left : right;
}

/**
 * Returns the outcome of a service's status under that service's contract.
 *
 * Only statuses that the settings list as `notRunStatuses` mean that nothing ran.
 */
export function outcomeOfStatus(
  status: number,
  notRunStatuses: readonly number[],
): Outcome {
  if (notRunStatuses.includes(status)) return "status_not_run";
  return status >= 500 ? "status_error" : "completed";
}
