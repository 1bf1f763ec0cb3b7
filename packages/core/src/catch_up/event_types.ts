/**
 * Events of catching up.
 *
 * @module
 */

/** Every event of catching up, without the time at which it happened. */
export type CatchUpEvent =
  /** What all sockets held was read once more. */
  | { kind: "sockets_read" }
  /** The oldest event held back may be handled, as long as the last read is recent. */
  | { kind: "deferred_due" };
