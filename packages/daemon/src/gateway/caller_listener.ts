/**
 * The callers' listener of a gateway: accepts requests for any host and path, reads them within the limits in force and
 * creates a relay for each.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { CallerLimits, EventBody, LogEventName } from "@primroseshed/core";
import polka from "polka";
import { onConnectionEnd } from "../http/connection_end.ts";
import type { Agents } from "../backend/transport.ts";
import { createCallerConnections } from "../http/caller_connections.ts";
import { CutOffError, readBody } from "../http/body.ts";
import { RequestError, sendClientError, sendError } from "../http/errors.ts";
import { givenUpAnswer } from "../http/guard.ts";
import { GivenUpError, type IntakeGate } from "../intake/intake_gate.ts";
import type { HeaderCodec } from "./adapters.ts";
import type { BufferBudget } from "./buffer_budget.ts";
import { fingerprintOf } from "../http/fingerprint.ts";
import { createRelay, type Relay } from "./relay.ts";

/** Options of {@link createCallerListener}. */
export interface CallerListenerOptions {
  headerCodec: HeaderCodec;
  agents: Agents;
  relays: Map<string, Relay>;
  gate: IntakeGate;
  /** Bytes that all responses may hold. */
  buffers: BufferBudget;
  isStopping(): boolean;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** The callers' listener. */
export interface CallerListener {
  server: Server;
  /** Applies new limits on what callers may send. */
  setLimits(limits: CallerLimits): void;
  /** Returns the limits in force. */
  limits(): CallerLimits;
  /** Accepts no more connections, lets open requests end within `maxWaitMs`, also those still being read, and closes. */
  close(options: { maxWaitMs: number }): Promise<void>;
}

/** The gateway keeps idle connections open this much longer than callers reuse them, ms. */
const IDLE_MARGIN_MS = 1_000;
/** Limits in force until a configuration is known. */
export const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Interval at which a closing listener checks for open requests, ms. */
const CLOSE_CHECK_MS = 20;
/** Limit of the HTTP parser, bytes; the limits in force apply below it. */
const MAX_HEADER_BYTES = 64 * 1024;
const HEADERS_TOO_LARGE = 431;

/** Creates the callers' listener. */
export function createCallerListener(
  options: CallerListenerOptions,
): CallerListener {
  const { headerCodec, agents, relays, gate, buffers } = options;
  const { isStopping, dispatch, log } = options;
  let limits = INITIAL_LIMITS;
  const connections = createCallerConnections();
  let requestCount = 0;
  let readingCount = 0;

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // Node ends the connection, and with it this request, after the answer that closes it.
    if (!connections.accept(request)) return;
    const headerBytes = request.rawHeaders.reduce(
      (sum, part) => sum + part.length + 2,
      0,
    );
    if (headerBytes > limits.maxHeaderBytes) {
      response.statusCode = HEADERS_TOO_LARGE;
      response.setHeader("connection", "close");
      response.end();
      return;
    }
    const metadata = headerCodec.readRequest(request.headers);
    const { deadlineMs } = metadata;
    const held = gate.admit(request, response, { deadlineMs });
    const { maxBodyBytes: maxBytes } = limits;
    readingCount += 1;
    const body = await readBody(request, { maxBytes, held })
      .finally(() => readingCount -= 1);
    if (response.destroyed) return;
    requestCount += 1;
    const name = `${metadata.id ?? "unnamed"}#${requestCount}`;
    const relay = createRelay({
      name,
      id: metadata.id,
      key: metadata.key,
      request,
      response,
      body,
      held,
      agents,
      headerCodec,
      isStopping,
      connections,
      buffers,
      dispatch,
      log,
    });
    relays.set(name, relay);
    onConnectionEnd(
      request,
      response,
      () => dispatch({ kind: "routed_request_closed", request: name }),
    );
    response.once("close", () => relays.delete(name));
    dispatch({
      kind: "routed_request_arrived",
      request: name,
      host: request.headers.host ?? "",
      path: request.url ?? "/",
      key: metadata.key,
      deadlineMs: metadata.deadlineMs,
      model: metadata.model,
      promptTokens: metadata.promptTokens,
      maxOutputTokens: metadata.maxOutputTokens,
      expectedOutputTokens: metadata.expectedOutputTokens,
      promptParts: metadata.promptParts,
      fingerprint: fingerprintOf({
        caller: metadata.key ?? "",
        method: request.method ?? "GET",
        host: request.headers.host ?? "",
        path: request.url ?? "/",
        body,
      }),
      lastEvent: metadata.lastEvent,
    });
  }

  function handleFailure(error: unknown, response: ServerResponse): void {
    if (error instanceof RequestError) {
      const { code, message } = error;
      log("request_malformed", { code });
      response.setHeader("connection", "close");
      return sendError(response, { code, message, verdict: "not_run" });
    }
    if (error instanceof GivenUpError) {
      response.setHeader("connection", "close");
      return sendError(response, givenUpAnswer(error));
    }
    if (!(error instanceof CutOffError)) {
      const cause = error instanceof Error ? error.stack : String(error);
      log("internal_error", { cause });
    }
    response.destroy();
  }

  const app = polka({
    server: createServer({ maxHeaderSize: MAX_HEADER_BYTES }),
    onNoMatch: (request, response) =>
      void serve(request, response).catch((error) =>
        handleFailure(error, response)
      ),
  });
  const server = app.server as Server;
  server.on("request", app.handler as never);
  server.on("clientError", (error, socket) => sendClientError(error, socket));
  // The gate bounds the time for a body, by the deadline of its caller.
  server.requestTimeout = 0;
  // Otherwise Node would leave out lines beyond the first thousand without a word.
  server.maxHeadersCount = 0;

  function setLimits(next: CallerLimits): void {
    limits = next;
    server.headersTimeout = next.headerTimeoutMs;
    server.keepAliveTimeout = next.idleTimeoutMs + IDLE_MARGIN_MS;
  }
  setLimits(INITIAL_LIMITS);

  async function close({ maxWaitMs }: { maxWaitMs: number }): Promise<void> {
    server.close();
    const deadline = Date.now() + maxWaitMs;
    while (readingCount + relays.size > 0 && Date.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, CLOSE_CHECK_MS));
    }
    // A connection that closes in order could end an answer without a length as if it were complete.
    for (const relay of [...relays.values()]) relay.abandon();
    server.closeAllConnections();
  }
  return { server, setLimits, limits: () => limits, close };
}
