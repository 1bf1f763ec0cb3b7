/**
 * Sends one caller's request to runners and relays one response to the caller.
 *
 * Events of a stream are relayed as soon as they are complete; every other response is buffered until it has ended.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Effect, EventBody, LogEventName } from "@primroseshed/core";
import { isFramed } from "../backend/answer_agent.ts";
import {
  type Agents,
  type ConnectionEnd,
  startAttempt,
} from "../backend/transport.ts";
import type { CallerConnections } from "../http/caller_connections.ts";
import { findUnwritable } from "../http/header_bytes.ts";
import type { HeldRequest } from "../intake/intake_gate.ts";
import type { HeaderCodec, ResponseHeaders } from "./adapters.ts";
import type { BufferBudget } from "./buffer_budget.ts";
import { BODILESS_STATUSES, createCallerAnswer } from "./caller_answer.ts";
import { statusOfRefusal } from "./refusal_status.ts";
import {
  decodeForwardedHeaders,
  decodeTrailers,
  encodeForwardOrder,
  withoutForwardHeaders,
} from "./forward_headers.ts";
import { createEventRelay } from "./event_relay.ts";
import { createEventSplitter } from "./event_splitter.ts";
import { watchUnread } from "./unread_answer.ts";
import type { UpstreamResponse } from "./upstream_response.ts";

type EffectOf<K extends Effect["kind"]> = Extract<Effect, { kind: K }>;

/** Relay of one request. */
export interface Relay {
  send(effect: EffectOf<"send_to_runner">): void;
  relay(attempt: number): void;
  cancel(attempt: number): void;
  refuse(effect: EffectOf<"refuse">): void;
  finish(): void;
  /** Ends a request of which an effect has failed: the caller gets no answer, or can tell that it is not complete. */
  abandon(): void;
}

/** Options of {@link createRelay}. */
export interface RelayOptions {
  /** Name of the request in events. */
  name: string;
  /** Id that the caller gave its request. */
  id: string | undefined;
  /** Key of the caller. */
  key: string | undefined;
  request: IncomingMessage;
  response: ServerResponse;
  body: Buffer;
  /** What is held of the request. */
  held: HeldRequest;
  agents: Agents;
  headerCodec: HeaderCodec;
  /** Returns true once persistent connections should close. */
  isStopping(): boolean;
  connections: CallerConnections;
  /** Bytes that the responses of all requests may hold. */
  buffers: BufferBudget;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

type ResponseFailure = Extract<EventBody, { kind: "response_failed" }>;

/** Largest response that is buffered until it is complete, bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const MS_PER_SECOND = 1_000;
/** Statuses that tell a caller that its request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Creates the relay of one request. */
export function createRelay(options: RelayOptions): Relay {
  const {
    name,
    id,
    key,
    request,
    response,
    body,
    held,
    agents,
    headerCodec,
    connections,
    buffers,
    dispatch,
    log,
  } = options;
  const answer = createCallerAnswer(options);
  /** Attempts in flight by number; two where the request is hedged. */
  const upstreams = new Map<number, UpstreamResponse>();
  const countUnread = watchUnread(response, {
    buffers,
    onGivenUp(bytes) {
      log("answer_unread", { request: name, bytes });
      answer.breakOff();
    },
  });
  const events = createEventRelay({
    name,
    response,
    answer,
    isOpen: (upstream) => upstreams.get(upstream.number) === upstream,
    fail: (upstream) => fail(upstream, "broken_frame"),
    countUnread,
    dispatch,
    log,
  });

  function beginWhole(upstream: UpstreamResponse, body: Buffer): void {
    const { status, relayedHeaders: headers } = upstream;
    // A runner's answer without a length may be cut where its connection ends, and its caller must not take it for whole.
    const endsWithConnection = !isFramed(upstream.headers);
    const length = endsWithConnection ? undefined : lengthOf(upstream, body);
    answer.begin({ status, headers, length, endsWithConnection });
  }

  function onData(upstream: UpstreamResponse, chunk: Buffer): void {
    const isEvents = upstream.isStream && upstream.metadata?.verdict === "ran";
    if (isEvents) events.push(upstream, chunk);
    else bufferChunk(upstream, chunk);
  }

  function bufferChunk(upstream: UpstreamResponse, chunk: Buffer): void {
    upstream.chunks.push(chunk);
    upstream.size += chunk.length;
    if (upstream.size > MAX_RESPONSE_BYTES) {
      return fail(upstream, "body_cut_off");
    }
    upstream.share.set(upstream.size);
  }

  /** Frees what is held of a response that is not needed any more. */
  function release(upstream: UpstreamResponse): void {
    upstream.chunks = [];
    upstream.share.release();
    upstreams.delete(upstream.number);
  }

  function releaseAll(): void {
    for (const upstream of [...upstreams.values()]) release(upstream);
  }

  /** Reports a failure that the runner's response shows. */
  function fail(
    upstream: UpstreamResponse,
    outcome: ResponseFailure["outcome"],
    connection?: ConnectionEnd,
  ): void {
    const side = upstream.isForwarded ? "runner" : undefined;
    reportFailure(upstream, { outcome, side, ...connection });
  }

  function reportFailure(
    upstream: UpstreamResponse,
    failure: Pick<ResponseFailure, "outcome" | "side" | "refusal" | "wasReset">,
  ): void {
    upstream.attempt?.cancel();
    release(upstream);
    const { number: attempt } = upstream;
    dispatch({ kind: "response_failed", request: name, attempt, ...failure });
  }

  function onHeaders(
    upstream: UpstreamResponse,
    status: number,
    received: ResponseHeaders,
  ): void {
    let headers = received;
    if (upstream.isForwarded) {
      const forwarded = decodeForwardedHeaders(received);
      if (!forwarded.ok) return reportFailure(upstream, forwarded.failure);
      headers = forwarded.headers;
    }
    const relayedHeaders = headerCodec.responseHeaders(headers);
    const unwritable = findUnwritable(relayedHeaders);
    if (unwritable !== undefined) {
      const { number: attempt } = upstream;
      log("answer_unwritable", { request: name, attempt, header: unwritable });
      return fail(upstream, "broken_frame");
    }
    const metadata = headerCodec.readResponse(status, headers, {
      id,
      isKept: upstream.isKept,
    });
    upstream.status = status;
    upstream.headers = headers;
    upstream.relayedHeaders = relayedHeaders;
    upstream.metadata = metadata;
    dispatch({
      kind: "response_started",
      request: name,
      attempt: upstream.number,
      status,
      verdict: metadata.verdict,
      load: metadata.load,
      requestsPerSecond: metadata.requestsPerSecond,
      backoffMs: metadata.backoffMs,
      isLeaving: metadata.isLeaving,
    });
    if (metadata.isForeign) fail(upstream, "foreign_answer");
  }

  /** Returns true if a stream ends only with its connection and before its first event, so that it is probably cut. */
  function isEndAmbiguous(
    { isStream, headers, metadata, hasEvents }: UpstreamResponse,
  ): boolean {
    const isSuccess = isStream && metadata?.verdict === "ran";
    return isSuccess && !hasEvents && !isFramed(headers);
  }

  /** Returns what told the end of a complete answer; undefined where it has no body. */
  function endOf(
    { headers, status }: UpstreamResponse,
  ): "framing" | "connection" | undefined {
    if (request.method === "HEAD" || BODILESS_STATUSES.has(status)) {
      return undefined;
    }
    return isFramed(headers) ? "framing" : "connection";
  }

  /** Returns the length of an answer's body; for a request without one, the length that the runner names. */
  function lengthOf(
    { headers }: UpstreamResponse,
    body: Buffer,
  ): number | undefined {
    if (request.method !== "HEAD") return body.length;
    const named = headers["content-length"];
    return typeof named === "string" ? Number(named) : undefined;
  }

  function onEnd(upstream: UpstreamResponse, trailers: ResponseHeaders): void {
    const failure = upstream.isForwarded ? decodeTrailers(trailers) : undefined;
    if (failure !== undefined) return reportFailure(upstream, failure);
    if (upstream.splitter.partialBytes() > 0 || isEndAmbiguous(upstream)) {
      return fail(upstream, "body_cut_off");
    }
    const { status, metadata } = upstream;
    const isRelayable = metadata!.verdict === "may_have_run" &&
      !NOT_RUN_STATUSES.has(status) && status >= 300;
    dispatch({
      kind: "response_ended",
      request: name,
      attempt: upstream.number,
      status,
      verdict: metadata!.verdict,
      isRelayable,
      endedBy: endOf(upstream),
    });
  }

  return {
    send(effect) {
      const { forwarder } = effect;
      const upstream: UpstreamResponse = {
        number: effect.attempt,
        isForwarded: forwarder !== undefined,
        isStream: effect.isStream,
        isKept: effect.isRepeatable,
        attempt: undefined,
        status: 0,
        headers: {},
        relayedHeaders: {},
        metadata: undefined,
        chunks: [],
        size: 0,
        share: buffers.open(() => {
          log("response_given_up", { request: name, attempt: effect.attempt });
          fail(upstream, "body_cut_off");
        }),
        splitter: createEventSplitter(),
        hasEvents: false,
      };
      if (!effect.isHedge) releaseAll();
      held.setStage("kept");
      upstreams.set(effect.attempt, upstream);
      const { runner, remainingMs, team, resumeAfter } = effect;
      events.beginRun(resumeAfter);
      const urgency = effect.isStream ? effect.urgency : undefined;
      const agent = effect.isRepeatable ? agents.reusing : agents.fresh;
      const headers = headerCodec.requestHeaders(request.rawHeaders, {
        runner,
        remainingMs,
        urgency,
        team,
        resumeAfter,
      });
      upstream.attempt = startAttempt(agent, {
        origin: `http://${forwarder?.address ?? effect.address}`,
        path: request.url!,
        method: request.method as "GET",
        headers: forwarder === undefined ? headers : [
          ...withoutForwardHeaders(headers),
          ...encodeForwardOrder({
            forwardKey: forwarder.key,
            runner,
            team,
            key,
            isRepeatable: effect.isRepeatable,
            isTrial: effect.isTrial,
          }),
        ],
        body: body.length > 0 ? body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      }, {
        events: {
          onSend: () =>
            dispatch({
              kind: "attempt_sent",
              request: name,
              attempt: effect.attempt,
            }),
          onHeaders: (status, headers) => onHeaders(upstream, status, headers),
          onData: (chunk) => onData(upstream, chunk),
          onEnd: (trailers) => onEnd(upstream, trailers),
          onFailure: (outcome, connection) =>
            forwarder === undefined
              ? fail(upstream, outcome, connection)
              : reportFailure(upstream, {
                outcome,
                side: "forwarder",
                ...connection,
              }),
        },
      });
    },
    relay(attempt) {
      const upstream = upstreams.get(attempt);
      if (upstream === undefined || answer.hasBegun()) return;
      if (upstream.isStream && upstream.metadata?.verdict === "ran") return;
      const whole = Buffer.concat(upstream.chunks);
      beginWhole(upstream, whole);
      release(upstream);
      response.write(whole);
      countUnread();
    },
    cancel(attempt) {
      const upstream = upstreams.get(attempt);
      if (upstream === undefined) return;
      upstream.attempt?.cancel();
      release(upstream);
    },
    refuse(effect) {
      if (answer.hasBegun()) return answer.breakOff();
      const { code, message, verdict, retryAfterMs } = effect;
      const headers: ResponseHeaders = { "content-type": "application/json" };
      if (retryAfterMs !== undefined) {
        headers["retry-after"] = String(retryAfterMs / MS_PER_SECOND);
      }
      if (effect.closesConnection) connections.closeAfter(request, response);
      const body = JSON.stringify({ error: { code, message, verdict } });
      const length = Buffer.byteLength(body);
      answer.begin({
        status: statusOfRefusal(effect),
        headers,
        length,
        endsWithConnection: false,
      });
      response.end(body);
    },
    finish() {
      const [upstream] = upstreams.values();
      if (upstream !== undefined) events.begin(upstream);
      releaseAll();
      response.end();
    },
    abandon() {
      for (const { attempt } of upstreams.values()) attempt?.cancel();
      releaseAll();
      answer.breakOff();
    },
  };
}
