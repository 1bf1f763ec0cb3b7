/**
 * Tells whether a runner may have cut a response because its caller did not read it.
 *
 * A paused response fills the connection to its runner, which closes it after some seconds. This daemon sees the end only
 * once the caller reads again, and it says nothing of the runner.
 *
 * @module
 */
import { MIN_UNREAD_MS } from "./constants.ts";
import type { Outcome } from "../verdict/types.ts";
import type { RoutedRequest } from "./types.ts";

type Attempt = NonNullable<RoutedRequest["currentAttempt"]>;

/** Returns true once the response of an attempt was left unread for long at a time. */
export function isLeftUnread(
  { now }: { now: number },
  { isBlocked, blockedAt, wasLeftUnread }: Attempt,
): boolean {
  return wasLeftUnread || (isBlocked && now - blockedAt >= MIN_UNREAD_MS);
}

/** Outcomes of responses that their runner may have cut since they were left unread. */
const CUT_OUTCOMES: ReadonlySet<Outcome> = new Set([
  "body_cut_off",
  "reset_after_send",
]);

/** Returns whether a failed attempt is a cut of a response that was left unread. */
export function isCutUnread(
  state: { now: number },
  attempt: Attempt,
  { outcome }: { outcome: Outcome },
): boolean {
  return CUT_OUTCOMES.has(outcome) && isLeftUnread(state, attempt);
}
