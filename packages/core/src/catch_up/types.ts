/**
 * Types of catching up: what a daemon holds back until it has read its sockets.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";

/** Events that lead to sends to backend servers, or to blame for failures. */
export type DeferrableKind =
  | "routed_request_arrived"
  | "request_arrived"
  | "forward_arrived"
  | "response_failed"
  | "response_ended"
  | "attempt_ended";

/** An event that may be held back. */
export type DeferrableEvent = {
  [K in DeferrableKind]: EventOf<K>;
}[DeferrableKind];

/** An event that is held back. */
export interface DeferredEvent {
  event: DeferrableEvent;
  /** Reads of the sockets before it. */
  reads: number;
}

/** How far a daemon has caught up with what its sockets hold. */
export interface CatchUp {
  /** Times that all sockets were read while catching up. */
  reads: number;
  /** Reads before the event loop was last found late; undefined once the daemon has caught up. */
  lateAtRead: number | undefined;
  /** Time since which it has not caught up, ms. */
  since: number;
  /** True while the event at hand follows a read of all sockets. */
  isRead: boolean;
  /** Events held back, oldest first. */
  deferred: DeferredEvent[];
  /** Events held back, and those of them that were dropped with their callers, since it began to catch up. */
  deferredCount: number;
  droppedCount: number;
}
