/**
 * Types of the intake: what a daemon holds of callers' requests, and the decisions about it.
 *
 * @module
 */

/** Kind of the bytes that are held of a request. */
export type HoldKind =
  /** Heads, of requests of any stage. */
  | "heads"
  /** Bodies that are not complete yet. */
  | "reading"
  /** Complete bodies of requests that have not been sent yet. */
  | "waiting"
  /** Complete bodies of requests that were sent, kept until their answers end. */
  | "kept";

/** Why an unfinished request is given up. */
export type GiveUpCause =
  /** All requests together hold more than the budget. */
  | "budget"
  /** Small chunks take too much processor time, and an older request sends some, too. */
  | "chunks"
  /** Its body makes too little progress. */
  | "slow";

/** Limits on what a daemon holds. */
export interface IntakeLimits {
  /** Bytes that all requests together may hold. */
  maxBytes: number;
  /** Bytes that all responses together may hold, those that callers have not read included. */
  maxResponseBytes: number;
  /** Connections of callers. */
  maxCallers: number;
  /** Connections of other daemons. */
  maxDaemons: number;
  /** Connections of operators, and those that check whether the daemon is ready, each. */
  maxOperators: number;
}

/** What is held of one request. */
export interface Holding {
  id: number;
  headBytes: number;
  bodyBytes: number;
  stage: Exclude<HoldKind, "heads">;
  /** True while the daemon waits for bytes of the caller. */
  awaitsCaller: boolean;
  /** Time by which the body has to be complete, ms. */
  endsAt: number;
  /** Bytes of the body that have arrived. */
  receivedBytes: number;
  /** Small chunks that have arrived since the last sweep. */
  smallChunks: number;
  /** Value of `receivedBytes` at the last sweep. */
  sweptBytes: number;
  /** Bytes that arrived between the last two sweeps. */
  recentBytes: number;
  /** Begin of the span in which a minimum of bytes has to arrive, ms. */
  windowStartedAt: number;
  /** Value of `receivedBytes` at that time. */
  windowBytes: number;
}

/** What a daemon holds of all requests. */
export interface Intake {
  limits: IntakeLimits;
  holdings: Map<number, Holding>;
  nextId: number;
  heldBytes: Record<HoldKind, number>;
  /** True while no bodies are read. */
  isPaused: boolean;
  /** Small chunks of all requests that have arrived since the last sweep. */
  smallChunks: number;
  sweptAt: number;
}

/** What the listeners have to do. */
export type IntakeDecision =
  /** Refuse an unfinished request, or close its connection. */
  | { kind: "give_up"; holding: number; cause: GiveUpCause }
  /** Stop reading bodies. */
  | { kind: "pause" }
  /** Read bodies again. */
  | { kind: "resume" };

/** Decisions, in the order in which they are carried out. */
export type IntakeDecisions = Generator<IntakeDecision, void>;
