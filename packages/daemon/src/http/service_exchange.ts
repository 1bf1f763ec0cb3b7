/**
 * The exchange of one call of a plain service: streams both bodies and relays the response unchanged.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Readable } from "node:stream";
import {
  type EventBody,
  type LogEventName,
  type Outcome,
  outcomeOfStatus,
  type ServiceDeployment,
  STORED_RESPONSE_MAX_CHARS,
  type StoredResponse,
  verdictOf,
} from "@primroseshed/core";
import {
  type Agents,
  type Attempt,
  type AttemptRequest,
  startAttempt,
} from "../backend/transport.ts";
import { reportServer } from "../backend/server_report.ts";
import type { HeldRequest } from "../intake/intake_gate.ts";
import type { BodyStart } from "./body.ts";
import { breakOff } from "./break_off.ts";
import { sendError } from "./errors.ts";
import type { Exchange, SendEffect } from "./exchanges.ts";
import { findUnwritable, type HeaderMap } from "./header_bytes.ts";
import { forwardableHeaders } from "./request_headers.ts";

/** Options of {@link createServiceExchange}. */
export interface ServiceExchangeOptions {
  id: string;
  deployment: ServiceDeployment;
  /** Path and query at the service. */
  path: string;
  start: BodyStart;
  /** What is held of the request. */
  held: HeldRequest;
  idempotent: boolean;
  /** True if a small response is stored for repetitions of its idempotency key. */
  storesResponse: boolean;
  request: IncomingMessage;
  response: ServerResponse;
  agents: Agents;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields: Record<string, unknown>): void;
}

/** Bytes of a refusal's body that are read so that its connection can be kept. */
const MAX_DROPPED_BYTES = 64 * 1024;

/** Statuses of a gateway in front of the service; an idempotent call is retried on another backend server. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

async function* streamBody(
  { start, request, held }: Pick<
    ServiceExchangeOptions,
    "start" | "request" | "held"
  >,
): AsyncGenerator<Buffer> {
  held.setAwaiting(false);
  yield start.bytes;
  held.setAwaiting(true);
  for await (const chunk of request) {
    held.addReceived((chunk as Buffer).length);
    // While the server does not read, the caller cannot make progress.
    held.setAwaiting(false);
    yield chunk as Buffer;
    held.setAwaiting(true);
  }
  held.setStage("kept");
}

/** Creates the exchange of one service call. */
export function createServiceExchange(
  options: ServiceExchangeOptions,
): Exchange {
  const { id, deployment, request, response, start, agents, dispatch } =
    options;
  let current: { number: number; attempt: Attempt } | undefined;
  let storedChunks: string[] | undefined;
  let storedChars = 0;

  function endAttempt(
    number: number,
    outcome: Outcome,
    stored?: StoredResponse,
  ): void {
    if (current?.number !== number) return;
    current.attempt.cancel();
    current = undefined;
    const committed = response.headersSent;
    dispatch({
      kind: "attempt_ended",
      request: id,
      attempt: number,
      outcome,
      committed,
      ...(stored && { response: stored }),
    });
  }

  /** Writes the head of an answer; returns false, and writes nothing, where a header cannot be written. */
  function forwardHeaders(status: number, headers: HeaderMap): boolean {
    const forwarded = forwardableHeaders(headers, { consume: false });
    const header = findUnwritable(forwarded);
    if (header !== undefined) {
      options.log("answer_unwritable", { request: id, header });
      return false;
    }
    const verdict = verdictOf(
      outcomeOfStatus(status, deployment.notRunStatuses),
    );
    response.writeHead(status, {
      ...forwarded,
      "primrose-verdict": verdict,
      "primrose-request-id": id,
    });
    return true;
  }

  function forwardData(chunk: Buffer): void {
    storeChunk(chunk);
    if (response.destroyed || response.write(chunk)) return;
    const attempt = current?.attempt;
    attempt?.pause();
    response.once("drain", () => attempt?.resume());
  }

  function storeChunk(chunk: Buffer): void {
    if (storedChunks === undefined) return;
    storedChars += chunk.length;
    if (storedChars > STORED_RESPONSE_MAX_CHARS) storedChunks = undefined;
    else storedChunks.push(chunk.toString("utf8"));
  }

  function failureOutcomeOf(status: number): Outcome | undefined {
    if (deployment.notRunStatuses.includes(status)) return "status_not_run";
    return options.idempotent && RETRIED_STATUSES.has(status)
      ? "status_error"
      : undefined;
  }

  function bodyOf(): AttemptRequest["body"] {
    if (!start.isWhole) return Readable.from(streamBody(options));
    return start.bytes.length > 0 ? start.bytes : null;
  }

  function headersOf({ group }: SendEffect): Record<string, string | string[]> {
    const length = request.headers["content-length"];
    return {
      ...forwardableHeaders(request.headers, { consume: true }),
      "x-request-id": id,
      ...(group !== undefined && { "x-group": group }),
      ...(!start.isWhole && length !== undefined &&
        { "content-length": length }),
    };
  }

  function send(effect: SendEffect): void {
    const { attempt: number, address, remainingMs } = effect;
    let failure: Outcome | undefined;
    let droppedBytes = 0;
    let status = 0;
    let contentType = "";
    storedChunks = options.storesResponse ? [] : undefined;
    storedChars = 0;
    const attempt = startAttempt(
      options.idempotent ? agents.reusing : agents.fresh,
      {
        origin: address,
        path: options.path,
        method: (request.method ?? "GET") as AttemptRequest["method"],
        headers: headersOf(effect),
        body: bodyOf(),
        headersTimeout: Math.min(remainingMs, deployment.responseTimeoutMs),
      },
      {
        events: {
          onHeaders(received, headers) {
            status = received;
            contentType = String(
              headers["content-type"] ?? "application/octet-stream",
            );
            reportServer({ request: id, attempt: number, status, headers }, {
              dispatch,
            });
            failure = failureOutcomeOf(received);
            if (failure !== undefined) return;
            if (!forwardHeaders(received, headers)) {
              endAttempt(number, "broken_frame");
            }
          },
          onData(chunk) {
            if (failure === undefined) return forwardData(chunk);
            droppedBytes += chunk.length;
            // Reading on would only save the connection.
            if (droppedBytes > MAX_DROPPED_BYTES) endAttempt(number, failure);
          },
          onEnd() {
            if (failure !== undefined) return endAttempt(number, failure);
            const stored = storedChunks &&
              { status, contentType, body: storedChunks.join("") };
            endAttempt(number, "completed", stored);
          },
          onFailure: (outcome) => endAttempt(number, outcome),
        },
      },
    );
    current = { number, attempt };
  }

  return {
    send,
    cancel(number) {
      if (current?.number !== number) return;
      current.attempt.cancel();
      current = undefined;
    },
    refuse(effect) {
      current?.attempt.cancel();
      current = undefined;
      if (response.headersSent) breakOff(request, response);
      else sendError(response, effect);
    },
    finish() {
      response.end();
    },
    abandon() {
      current?.attempt.cancel();
      current = undefined;
      breakOff(request, response);
    },
    replay({ status, contentType, body }) {
      response.writeHead(status, {
        "content-type": contentType,
        "primrose-verdict": "ran",
        "primrose-replayed": "true",
      });
      response.end(body);
    },
  };
}
