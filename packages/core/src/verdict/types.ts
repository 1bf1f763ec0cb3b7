/**
 * Verdicts on whether a request ran, as reported to its caller, and the outcomes of attempts that they derive from.
 *
 * @module
 */

/** Whether a request ran. `not_run`: certainly not started; `may_have_run`: unknown; `ran`: it took effect. */
export type Verdict = "not_run" | "may_have_run" | "ran";

/** How one attempt at a backend server ended, as observed on its connection. */
export type Outcome =
  | "connect_refused"
  | "connect_timeout"
  | "tls_failed"
  | "reset_before_send"
  /** Holds what no request over HTTP can carry. */
  | "request_unwritable"
  | "reset_after_send"
  | "response_timeout"
  | "body_cut_off"
  | "broken_frame"
  | "foreign_answer"
  | "status_not_run"
  | "status_error"
  | "queue_timeout"
  | "caller_gone_queued"
  | "caller_gone_running"
  | "cancelled"
  | "completed";
