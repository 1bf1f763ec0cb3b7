/**
 * Sets of outcomes of failed attempts, by what they tell of runners and of the paths to them.
 *
 * @module
 */
import type { Outcome } from "../verdict/types.ts";

/** Outcomes that tell nothing of a runner or of the path to it. */
export const BLAMELESS_OUTCOMES: ReadonlySet<Outcome> = new Set([
  "cancelled",
  "request_unwritable",
]);

/** Outcomes of attempts whose request never left. */
export const UNSENT_OUTCOMES: ReadonlySet<Outcome> = new Set([
  "connect_refused",
  "connect_timeout",
  "reset_before_send",
]);

/** Outcomes that a dead or silent runner causes, which others would meet too. */
export const SUSPICIOUS_OUTCOMES: ReadonlySet<Outcome> = new Set([
  "connect_refused",
  "connect_timeout",
  "response_timeout",
  "body_cut_off",
]);

/** Outcomes that a fault of the network between this daemon and a runner causes, among other things. */
export const PATH_OUTCOMES: ReadonlySet<Outcome> = new Set([
  ...UNSENT_OUTCOMES,
  "reset_after_send",
  "response_timeout",
  "body_cut_off",
]);
