/**
 * Constants of catching up.
 *
 * @module
 */

/** Delay of the event loop from which on the sockets are read before anything is decided, ms. */
export const MAX_LATENESS_MS = 100;
/**
 * Reads of all sockets that pass before a request that was read late is decided on: the one that reads it, and the next
 * one, which reads the end of its connection.
 */
export const READS_BEFORE_DECISION = 2;
