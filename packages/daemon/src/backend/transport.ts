/**
 * Sends one attempt to a backend server over HTTP and reports precisely how it ended.
 *
 * @module
 */
import type { Outcome } from "@primroseshed/core";
import {
  type Agent,
  type buildConnector,
  type Dispatcher,
  errors,
} from "undici";
import VError from "verror";
import {
  type PatientTimer,
  startPatientTimer,
} from "../driver/patient_timer.ts";
import { decodeHeaders, type HeaderMap } from "../http/header_bytes.ts";
import {
  type Connect,
  createAnswerAgent,
  createConnect,
  STATUS_UNDEFINED,
} from "./answer_agent.ts";
import { RESET_CODE } from "./reset_watch.ts";

/** Outcomes by the codes of errors that arise only before a connection exists. */
const CONNECT_OUTCOMES: Readonly<Record<string, Outcome>> = {
  ECONNREFUSED: "connect_refused",
  EHOSTUNREACH: "connect_refused",
  ENETUNREACH: "connect_refused",
  EADDRNOTAVAIL: "connect_refused",
  UND_ERR_CONNECT_TIMEOUT: "connect_timeout",
  ETIMEDOUT: "connect_timeout",
  ERR_TLS_CERT_ALTNAME_INVALID: "tls_failed",
  DEPTH_ZERO_SELF_SIGNED_CERT: "tls_failed",
  SELF_SIGNED_CERT_IN_CHAIN: "tls_failed",
  UNABLE_TO_VERIFY_LEAF_SIGNATURE: "tls_failed",
  ERR_SSL_WRONG_VERSION_NUMBER: "tls_failed",
  EPROTO: "tls_failed",
};

/** Codes of errors of the HTTP client about a request that it cannot write, whichever server it is for. */
const UNWRITABLE_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_INVALID_ARG",
  "UND_ERR_NOT_SUPPORTED",
]);

const TIMEOUT_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
]);

function codeOf(error: unknown): string {
  if (!(error instanceof Error)) return "";
  const { code } = error as NodeJS.ErrnoException;
  if (typeof code === "string") return code;
  return codeOf(error instanceof VError ? VError.cause(error) : error.cause);
}

/** Returns the outcome of a failed attempt; `sent` is true if sending of the request had begun. */
export function outcomeOfError(
  error: unknown,
  { sent, hasResponse = false }: { sent: boolean; hasResponse?: boolean },
): Outcome {
  const code = codeOf(error);
  if (!sent && UNWRITABLE_CODES.has(code)) return "request_unwritable";
  if (!sent) return CONNECT_OUTCOMES[code] ?? "reset_before_send";
  if (TIMEOUT_CODES.has(code)) return "response_timeout";
  if ((error as Error).name === STATUS_UNDEFINED) return "broken_frame";
  return hasResponse ? "body_cut_off" : "reset_after_send";
}

/** Callbacks of an attempt. */
export interface AttemptEvents {
  /** Called before the first byte of the request leaves. */
  onSend?(): void;
  onHeaders(status: number, headers: HeaderMap): void;
  onData(chunk: Buffer): void;
  onEnd(trailers: HeaderMap): void;
  onFailure(outcome: Outcome, connection: ConnectionEnd): void;
}

/** How the connection of a failed attempt ended. */
export interface ConnectionEnd {
  /** True where it was reset, also by a server that had closed it as the request was written. */
  wasReset: boolean;
}

/** One attempt in progress. */
export interface Attempt {
  /** Ends the attempt; no further events follow. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Request of an attempt. */
export type AttemptRequest = Dispatcher.DispatchOptions;

/** Options of {@link createAgents}. */
export interface AgentOptions {
  connectTimeoutMs: number;
  /** Called with the `IP:PORT` of each new connection. */
  onConnect?(address: string): void;
  /** Opens connections; sockets of the operating system by default. */
  connect?: Connect;
}

/** Connection pools for backend servers. */
export interface Agents {
  /** Persistent connections, for requests that may be repeated. */
  reusing: Agent;
  /** A new connection for each request, so that a stale one never leaves the outcome of a booking unknown. */
  fresh: Agent;
}

/** Creates a connector that gives up in time, and reports each new connection. */
function createConnector(
  { connectTimeoutMs, onConnect, connect = createConnect() }: AgentOptions,
): buildConnector.connector {
  return (options, callback) => {
    const connecting = connect(options, (...result) => {
      timer.clear();
      const [, socket] = result;
      if (socket) onConnect?.(`${options.hostname}:${options.port}`);
      callback(...result);
    });
    // The connector's own timeout is up to a second late.
    const timer = startPatientTimer(
      connectTimeoutMs,
      () => connecting.destroy(new errors.ConnectTimeoutError()),
    );
  };
}

/** Creates the connection pools. */
export function createAgents(options: AgentOptions): Agents {
  const connect = createConnector(options);
  const shared = { connect, connections: null, bodyTimeout: 0 };
  return {
    reusing: createAnswerAgent({ ...shared, pipelining: 1 }),
    fresh: createAnswerAgent({ ...shared, pipelining: 0 }),
  };
}

/** Starts an attempt. Exactly one of `onEnd` and `onFailure` is called, unless it is cancelled first. */
export function startAttempt(
  agent: Agent,
  request: AttemptRequest,
  { events }: { events: AttemptEvents },
): Attempt {
  let abort: ((reason: Error) => void) | undefined;
  let resume: (() => void) | undefined;
  let isOver = false;
  let isPaused = false;
  let hasResponse = false;
  let headersTimer: PatientTimer | undefined;
  const headersTimeoutMs = request.headersTimeout ?? 0;

  // Only handlers of this form get headers as bytes; the client decodes them as UTF-8 for those of the other one.
  agent.dispatch({ ...request, headersTimeout: 0 }, {
    onConnect(abortRequest) {
      abort = abortRequest;
      if (isOver) return abort(new Error("cancelled"));
      if (headersTimeoutMs > 0) {
        headersTimer = startPatientTimer(
          headersTimeoutMs,
          () => abortRequest(new errors.HeadersTimeoutError()),
        );
      }
      events.onSend?.();
    },
    onHeaders(status, rawHeaders, resumeResponse) {
      resume = resumeResponse;
      if (status < 200 || isOver) return true;
      headersTimer?.clear();
      hasResponse = true;
      const headers = decodeHeaders(rawHeaders);
      events.onHeaders(status, headers);
      return !isPaused;
    },
    onData(chunk) {
      if (!isOver) events.onData(chunk);
      return !isPaused;
    },
    onComplete(rawTrailers) {
      if (isOver) return;
      isOver = true;
      events.onEnd(decodeHeaders((rawTrailers ?? []) as unknown as Buffer[]));
    },
    onError(error) {
      headersTimer?.clear();
      if (isOver) return;
      isOver = true;
      events.onFailure(
        outcomeOfError(error, { sent: abort !== undefined, hasResponse }),
        { wasReset: codeOf(error) === RESET_CODE },
      );
    },
  });

  return {
    cancel() {
      headersTimer?.clear();
      if (isOver) return;
      isOver = true;
      abort?.(new Error("cancelled"));
    },
    pause() {
      if (!isOver) isPaused = true;
    },
    resume() {
      if (!isPaused) return;
      isPaused = false;
      resume?.();
    },
  };
}
