/**
 * Callers' requests in progress at this daemon's listeners.
 *
 * @module
 */
import type { Effect, StoredResponse } from "@primroseshed/core";

/** The effect that starts an attempt. */
export type SendEffect = Extract<Effect, { kind: "send" }>;
/** The effect that refuses a request. */
export type RefuseEffect = Extract<Effect, { kind: "refuse" }>;

/** One caller's request and its response. */
export interface Exchange {
  /** Starts an attempt; data of earlier ones is ignored from now on. */
  send(effect: SendEffect): void;
  cancel(attempt: number): void;
  refuse(effect: RefuseEffect): void;
  finish(): void;
  replay(response: StoredResponse): void;
  /** Ends a request of which an effect has failed: the caller gets no answer, or can tell that it is not complete. */
  abandon(): void;
}

/** Exchanges by request id. */
export type Exchanges = Map<string, Exchange>;
