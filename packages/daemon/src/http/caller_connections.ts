/**
 * Decides for each connection of a caller after which answer it closes.
 *
 * A caller may send its next request before the last one is answered. A connection therefore closes only after the
 * answer to the last request that was read on it, and a request that is read later is not taken: its caller can tell
 * that it was not.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Connections of callers. */
export interface CallerConnections {
  /** Records a request that was read; returns false where its connection closes after an earlier answer. */
  accept(request: IncomingMessage): boolean;
  /** Closes the connection after this answer, unless a later request was read on it. */
  closeAfter(request: IncomingMessage, response: ServerResponse): void;
}

/**
 * Creates the record of connections.
 *
 * @example
 * ```ts
 * if (!connections.accept(request)) return;
 * if (isStopping()) connections.closeAfter(request, response);
 * ```
 */
export function createCallerConnections(): CallerConnections {
  const lastRequests = new WeakMap<Socket, IncomingMessage>();
  const closing = new WeakSet<Socket>();
  return {
    accept(request) {
      if (closing.has(request.socket)) return false;
      lastRequests.set(request.socket, request);
      return true;
    },
    closeAfter(request, response) {
      const { socket } = request;
      if (lastRequests.get(socket) !== request || response.headersSent) return;
      closing.add(socket);
      response.setHeader("connection", "close");
    },
  };
}
