/**
 * Breaks off answers that have begun.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/** Returns true if a caller can tell the end of a begun answer without the end of its connection. */
function isDelimited(response: ServerResponse): boolean {
  return response.chunkedEncoding || response.hasHeader("content-length");
}

/** Ends an answer that cannot be completed so that its caller can tell; it has no effect on one that is complete. */
export function breakOff(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (response.writableFinished) return;
  if (response.headersSent && !isDelimited(response)) {
    // To such a caller, a connection that closes in order is the end of a complete answer.
    request.socket.resetAndDestroy();
  }
  response.destroy();
}
