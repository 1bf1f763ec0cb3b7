/**
 * Writes the answer to a caller's request: its head whole or not at all, and framed so that its end shows.
 *
 * A stream to a caller of HTTP/1.1 has chunks, also where its runner ends it with the connection, so that the caller can
 * tell the whole stream from one that the death of this process has cut. An answer that can only end with its connection
 * is reset where it is broken off.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { breakOff } from "../http/break_off.ts";
import type { CallerConnections } from "../http/caller_connections.ts";
import type { ResponseHeaders } from "./adapters.ts";

/** Head of an answer. */
export interface AnswerHead {
  status: number;
  /** Headers without those that frame the body. */
  headers: ResponseHeaders;
  /** Length of the body, bytes; undefined where it is not known yet. */
  length: number | undefined;
  /** True where the end of the connection alone ends the answer, as nobody can tell whether it is whole. */
  endsWithConnection: boolean;
}

/** Answer to one request of a caller. */
export interface CallerAnswer {
  /** Returns true once the head is written. */
  hasBegun(): boolean;
  /**
   * Writes the head.
   *
   * @throws {Error} The head cannot be written; nothing of it was.
   */
  begin(head: AnswerHead): void;
  /** Breaks the answer off so that the caller can tell that it is not complete. */
  breakOff(): void;
}

/** Options of {@link createCallerAnswer}. */
export interface CallerAnswerOptions {
  request: IncomingMessage;
  response: ServerResponse;
  connections: CallerConnections;
  /** Returns true once persistent connections should close. */
  isStopping(): boolean;
}

/** Statuses of answers without a body. */
export const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Creates the answer to one request.
 *
 * @example
 * ```ts
 * const answer = createCallerAnswer({ request, response, connections, isStopping });
 * answer.begin({ status: 200, headers: {}, length: 2, endsWithConnection: false });
 * response.end("ok");
 * ```
 */
export function createCallerAnswer(
  { request, response, connections, isStopping }: CallerAnswerOptions,
): CallerAnswer {
  function setHeaders(
    { status, headers, length, endsWithConnection }: AnswerHead,
  ): void {
    for (const [name, value] of Object.entries(headers)) {
      if (value !== undefined) response.setHeader(name, value);
    }
    const mayHaveBody = !BODILESS_STATUSES.has(status);
    // Node changes the bytes of some values that come after the length.
    if (mayHaveBody && length !== undefined) {
      response.setHeader("content-length", length);
    }
    if (!endsWithConnection || !mayHaveBody) return;
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }

  return {
    hasBegun: () => response.headersSent,
    begin(head) {
      try {
        setHeaders(head);
        if (isStopping()) connections.closeAfter(request, response);
        response.writeHead(head.status);
      } catch (error) {
        for (const name of response.getHeaderNames()) {
          response.removeHeader(name);
        }
        throw error;
      }
    },
    breakOff: () => breakOff(request, response),
  };
}
