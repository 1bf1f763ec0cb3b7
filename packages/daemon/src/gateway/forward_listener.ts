/**
 * Sends requests for other daemons that have lost their own path to a runner, and passes the responses back.
 *
 * It sends to the runner directly and never to a further daemon, so that a request takes one hop at most.
 *
 * @module
 */
import { randomBytes, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  Effect,
  EventBody,
  ForwardRefusal,
  LogEventName,
  Outcome,
} from "@primroseshed/core";
import {
  type Agents,
  type Attempt,
  startAttempt,
} from "../backend/transport.ts";
import { onConnectionEnd } from "../http/connection_end.ts";
import { readBody } from "../http/body.ts";
import { GivenUpError, type IntakeGate } from "../intake/intake_gate.ts";
import { findUnwritable } from "../http/header_bytes.ts";
import { fingerprintOf } from "../http/fingerprint.ts";
import type { HeaderCodec, ResponseHeaders } from "./adapters.ts";
import {
  decodeForwardOrder,
  encodeForwardedHeaders,
  encodeTrailers,
  failureHead,
  type ForwardFailureHead,
  type ForwardOrder,
  refusalHead,
  withoutForwardHeaders,
} from "./forward_headers.ts";

/** Options of {@link createForwardListener}. */
export interface ForwardListenerOptions {
  headerCodec: HeaderCodec;
  agents: Agents;
  /** Key that a daemon must know for its requests to be forwarded. */
  forwardKey: string;
  gate: IntakeGate;
  /** Returns the largest body that callers may send, bytes. */
  maxBodyBytes(): number;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Listener for requests of other daemons. */
export interface ForwardListener {
  handle(request: IncomingMessage, response: ServerResponse): void;
  forward(effect: Extract<Effect, { kind: "forward" }>): void;
  refuse(effect: Extract<Effect, { kind: "refuse_forward" }>): void;
  /** Ends a request of which an effect has failed, so that its daemon gets no answer. */
  abandon(request: string): void;
}

interface ForwardedRequest {
  order: ForwardOrder;
  request: IncomingMessage;
  response: ServerResponse;
  body: Buffer;
  /** Attempt at the runner; undefined before its start. */
  attempt?: Attempt;
}

/** Requests whose bodies are read at once. */
const MAX_READING = 64;
const MISSING_STATUS = 404;
const FORWARD_KEY_BYTES = 18;
const NOTHING = Buffer.alloc(0);

function hasSameBytes(left: string, right: string): boolean {
  const [a, b] = [Buffer.from(left), Buffer.from(right)];
  return a.length === b.length && timingSafeEqual(a, b);
}

function endWith(
  response: ServerResponse,
  { status, headers }: ForwardFailureHead,
): void {
  response.writeHead(status, headers);
  response.end();
}

/** Creates the key that a daemon's requests to forward have to name. */
export function createForwardKey(): string {
  return randomBytes(FORWARD_KEY_BYTES).toString("base64url");
}

/** Creates the listener. */
export function createForwardListener(
  { headerCodec, agents, forwardKey, gate, maxBodyBytes, dispatch, log }:
    ForwardListenerOptions,
): ForwardListener {
  /** Requests that are open, by name. */
  const open = new Map<string, ForwardedRequest>();
  let count = 0;
  let readingCount = 0;

  function refuseAtOnce(response: ServerResponse, cause: ForwardRefusal): void {
    log("forward_refused", { cause });
    response.setHeader("connection", "close");
    endWith(response, refusalHead(cause));
  }

  function handle(request: IncomingMessage, response: ServerResponse): void {
    const order = decodeForwardOrder(request.headers);
    if (order === undefined) {
      response.statusCode = MISSING_STATUS;
      response.setHeader("connection", "close");
      return void response.end();
    }
    if (!hasSameBytes(order.forwardKey, forwardKey)) {
      return refuseAtOnce(response, "unauthorized");
    }
    if (readingCount >= MAX_READING) return refuseAtOnce(response, "busy");
    void accept({ order, request, response });
  }

  async function accept(
    { order, request, response }: Omit<ForwardedRequest, "body">,
  ): Promise<void> {
    let body: Buffer;
    const { id, promptParts, deadlineMs } = headerCodec.readRequest(
      request.headers,
    );
    const held = gate.admit(request, response, { deadlineMs });
    readingCount += 1;
    try {
      body = await readBody(request, { maxBytes: maxBodyBytes(), held });
    } catch (error) {
      if (error instanceof GivenUpError) return refuseAtOnce(response, "busy");
      log("forward_refused", { cause: (error as Error).message });
      return void response.destroy();
    } finally {
      readingCount -= 1;
    }
    if (response.destroyed) return;
    held.setStage("kept");
    count += 1;
    const name = `${id ?? "unnamed"}#forward${count}`;
    const host = request.headers.host ?? "";
    const path = request.url ?? "/";
    open.set(name, { order, request, response, body });
    onConnectionEnd(request, response, () => {
      open.get(name)?.attempt?.cancel();
      open.delete(name);
      dispatch({ kind: "forward_ended", request: name });
    });
    dispatch({
      kind: "forward_arrived",
      request: name,
      runner: order.runner,
      host,
      path,
      key: order.key,
      team: order.team,
      promptParts,
      fingerprint: fingerprintOf({
        caller: order.key ?? "",
        method: request.method ?? "GET",
        host,
        path,
        body,
      }),
      isTrial: order.isTrial,
    });
  }

  function send(
    forwarded: ForwardedRequest,
    { address }: { address: string },
  ): Attempt {
    const { order, request, response, body } = forwarded;
    const agent = order.isRepeatable ? agents.reusing : agents.fresh;
    return startAttempt(agent, {
      origin: `http://${address}`,
      path: request.url!,
      method: request.method as "GET",
      headers: withoutForwardHeaders(request.rawHeaders),
      body: body.length > 0 ? body : null,
      headersTimeout: 0,
      bodyTimeout: 0,
    }, {
      events: {
        onHeaders(status, headers) {
          const { id } = headerCodec.readRequest(request.headers);
          const passed = encodeForwardedHeaders(headers);
          const unwritable = findUnwritable(passed);
          if (unwritable !== undefined) {
            log("answer_unwritable", { request: id, header: unwritable });
            forwarded.attempt?.cancel();
            return endWith(response, failureHead("broken_frame"));
          }
          reportAnswer(order, id, { status, headers });
          writeHead(response, status, passed);
        },
        onData(chunk) {
          if (response.write(chunk)) return;
          const { attempt } = forwarded;
          attempt?.pause();
          response.once("drain", () => attempt?.resume());
        },
        onEnd: () => end(response, undefined),
        onFailure(outcome) {
          const { runner } = order;
          dispatch({ kind: "forward_unconnected", runner, outcome });
          if (!response.headersSent) endWith(response, failureHead(outcome));
          else end(response, outcome);
        },
      },
    });
  }

  /** Reports what a runner's answer says to this daemon, which sent the request. */
  function reportAnswer(
    { runner }: ForwardOrder,
    id: string | undefined,
    { status, headers }: { status: number; headers: ResponseHeaders },
  ): void {
    const { backoffMs, isLeaving } = headerCodec.readResponse(status, headers, {
      id,
    });
    dispatch({ kind: "forward_answered", runner, backoffMs, isLeaving });
  }

  function writeHead(
    response: ServerResponse,
    status: number,
    headers: ResponseHeaders,
  ): void {
    response.statusCode = status;
    for (const [name, value] of Object.entries(headers)) {
      if (value !== undefined) response.setHeader(name, value);
    }
    response.setHeader("transfer-encoding", "chunked");
    // Sends the head as it is; `flushHeaders` would encode its values in UTF-8.
    response.write(NOTHING);
  }

  function end(response: ServerResponse, outcome: Outcome | undefined): void {
    response.addTrailers(encodeTrailers(outcome));
    response.end();
  }

  return {
    handle,
    forward({ request: name, address }) {
      const forwarded = open.get(name);
      if (forwarded !== undefined) {
        forwarded.attempt = send(forwarded, { address });
      }
    },
    refuse({ request: name, cause }) {
      const forwarded = open.get(name);
      if (forwarded !== undefined) {
        endWith(forwarded.response, refusalHead(cause));
      }
    },
    abandon(name) {
      open.get(name)?.response.destroy();
    },
  };
}
