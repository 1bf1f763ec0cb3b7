/**
 * Keeps the two attempts of a hedged request: events act on the current one, and the first response decides.
 *
 * @module
 */
import { cancelParallelAttempt } from "../gateway/finish.ts";
import type { RoutedRequest } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";

/** Makes an attempt that is in flight the current one, so that what its runner sends acts on it. */
export function makeCurrent(request: RoutedRequest, attempt: number): void {
  const { currentAttempt, parallelAttempt } = request;
  if (parallelAttempt?.number !== attempt) return;
  request.currentAttempt = parallelAttempt;
  request.parallelAttempt = currentAttempt;
}

/** Goes on with the other attempt after the current one has failed. */
export function continueParallel(request: RoutedRequest): void {
  request.currentAttempt = request.parallelAttempt;
  request.parallelAttempt = undefined;
}

/** Handles the first response of a hedged request: its attempt wins, and the other one is cancelled. */
export function* settleHedge(state: State, request: RoutedRequest): Effects {
  const { currentAttempt: winner, parallelAttempt: loser } = request;
  if (winner === undefined || loser === undefined) return;
  yield {
    kind: "log",
    event: "hedge_settled",
    fields: {
      request: request.id,
      winner: winner.number,
      outcome: winner.number > loser.number ? "won" : "lost",
      runner: winner.runner,
      loser: loser.runner,
      loserSent: loser.isSent,
      loserBegan: loser.hasHeaders,
      afterMs: Math.round(state.now - winner.sentAt),
    },
  };
  yield* cancelParallelAttempt(state, state.gateway!, request);
}
