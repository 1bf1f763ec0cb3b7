/**
 * Errors that callers receive: codes, statuses and bodies.
 *
 * @module
 */
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import type { RefusalCode, Verdict } from "@primroseshed/core";

/** Codes of errors found before a request reaches the reducer. */
export type RequestErrorCode =
  | "unauthorized"
  | "invalid_request"
  | "body_too_large"
  | "headers_too_large"
  | "not_found"
  | "method_not_allowed";

/** Every code that a caller can receive. */
export type ErrorCode = RefusalCode | RequestErrorCode;

/** HTTP status by error code. */
export const STATUS_BY_CODE: Readonly<Record<ErrorCode, number>> = {
  unauthorized: 401,
  invalid_request: 400,
  body_too_large: 413,
  headers_too_large: 431,
  not_found: 404,
  method_not_allowed: 405,
  not_declared: 403,
  unknown_deployment: 404,
  unknown_route: 404,
  unknown_key: 401,
  rate_limited: 429,
  overloaded: 503,
  deadline_passed: 504,
  no_capacity: 503,
  backend_failed: 502,
  stream_lost: 502,
  key_in_use: 409,
  key_mismatch: 422,
  already_ran: 409,
  log_unavailable: 503,
  not_ready: 503,
  prompt_quarantined: 503,
  request_quarantined: 503,
  stopping: 503,
};

/** Statuses that always carry a `retry-after` header. */
const RETRY_AFTER_STATUSES: ReadonlySet<number> = new Set([429, 503]);
const DEFAULT_RETRY_AFTER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** An error to return to a caller. */
export interface CallerError {
  code: ErrorCode;
  message: string;
  verdict: Verdict;
  retryAfterMs?: number;
}

/** Thrown while a request is read; nothing has run. */
export class RequestError extends Error {
  /** Code returned to the caller. */
  readonly code: RequestErrorCode;

  /** Creates an error with the code that is returned to the caller. */
  constructor(code: RequestErrorCode, message: string) {
    super(message);
    this.name = "RequestError";
    this.code = code;
  }
}

/** Returns the body of an error. */
export function errorBody(
  { code, message, verdict }: CallerError,
): { error: Omit<CallerError, "retryAfterMs"> } {
  return { error: { code, message, verdict } };
}

/** Sends an error as a complete response. */
export function sendError(response: ServerResponse, error: CallerError): void {
  if (response.headersSent || response.destroyed) return;
  const status = STATUS_BY_CODE[error.code];
  if (RETRY_AFTER_STATUSES.has(status)) {
    const seconds = Math.ceil(
      (error.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) / MS_PER_SECOND,
    );
    response.setHeader("retry-after", Math.max(1, seconds));
  }
  if (status === 401) response.setHeader("www-authenticate", "Bearer");
  response.setHeader("primrose-verdict", error.verdict);
  sendJson(response, status, { body: errorBody(error) });
}

/** Sends JSON as a complete response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  { body }: { body: unknown },
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

const CLIENT_ERRORS: Readonly<Record<string, CallerError>> = {
  HPE_HEADER_OVERFLOW: {
    code: "headers_too_large",
    message: "Cannot accept headers of this size; send shorter ones",
    verdict: "not_run",
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    code: "invalid_request",
    message: "Cannot wait longer for the request; send it faster",
    verdict: "not_run",
  },
};
const MALFORMED: CallerError = {
  code: "invalid_request",
  message: "Cannot parse the request as HTTP/1.1",
  verdict: "not_run",
};

/** Sends an error for input that never became a request: broken HTTP, too large headers, or a slow request. */
export function sendClientError(
  error: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (!socket.writable) return void socket.destroy();
  const known = CLIENT_ERRORS[error.code ?? ""] ?? MALFORMED;
  const body = JSON.stringify(errorBody(known));
  const status = STATUS_BY_CODE[known.code];
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    `primrose-verdict: ${known.verdict}`,
    "connection: close",
  ];
  socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}
