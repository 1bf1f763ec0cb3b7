/**
 * Sends one caller's request to runners and relays one response to the caller.
 *
 * Events of a stream are relayed as soon as they are complete; every other response is buffered until it has ended.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Effect, EventBody, Verdict } from "@primroseshed/core";
import {
  type Agents,
  type Attempt,
  isFramed,
  startAttempt,
} from "../backend/transport.ts";
import { STATUS_BY_CODE } from "../http/errors.ts";
import type { Dialect, ReplyFacts, ReplyHeaders } from "./adapters.ts";
import { createEventSplitter, type EventSplitter } from "./event_splitter.ts";

type EffectOf<K extends Effect["kind"]> = Extract<Effect, { kind: K }>;

/** Relay of one request. */
export interface Relay {
  send(effect: EffectOf<"try_runner">): void;
  relay(attempt: number): void;
  cancel(attempt: number): void;
  refuse(effect: EffectOf<"refuse">): void;
  finish(): void;
}

/** Options of {@link createRelay}. */
export interface RelayOptions {
  /** Name of the request in events. */
  name: string;
  /** Id that the caller gave its request. */
  id: string | undefined;
  request: IncomingMessage;
  response: ServerResponse;
  body: Buffer;
  agents: Agents;
  dialect: Dialect;
  /** True once persistent connections should close after their next response. */
  isStopping(): boolean;
  dispatch(event: EventBody): void;
}

interface Reply {
  number: number;
  isStream: boolean;
  attempt: Attempt | undefined;
  status: number;
  headers: ReplyHeaders;
  facts: ReplyFacts | undefined;
  chunks: Buffer[];
  size: number;
  splitter: EventSplitter;
}

/** Largest response that is buffered until it is complete, bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Bytes that a caller may leave unread before the response of its runner is paused. */
const MAX_UNREAD_BYTES = 256 * 1024;
const MS_PER_SECOND = 1_000;
/** Statuses that tell a caller that its request did not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const NOT_RUN_STATUS = 503;
const TIMEOUT_STATUS = 504;
const FAILED_STATUS = 502;
const FINAL_STATUSES: Readonly<Record<string, number>> = {
  unknown_route: STATUS_BY_CODE.unknown_route,
  unknown_key: STATUS_BY_CODE.unknown_key,
};

/** Returns the status of an error of the daemon itself; it says "not run" only for a request that never ran. */
function statusOfRefusal(
  { code, verdict }: { code: string; verdict: Verdict },
): number {
  const fixed = FINAL_STATUSES[code];
  if (fixed !== undefined) return fixed;
  if (verdict === "not_run") return NOT_RUN_STATUS;
  return code === "deadline_passed" ? TIMEOUT_STATUS : FAILED_STATUS;
}

/** Creates the relay of one request. */
export function createRelay(options: RelayOptions): Relay {
  const { name, id, request, response, body, agents, dialect, dispatch } =
    options;
  let reply: Reply | undefined;
  let isRelaying = false;
  let isFramedRelay = true;

  function markClose(): void {
    if (options.isStopping()) response.setHeader("connection", "close");
  }

  function writeHead(from: Reply): void {
    isRelaying = true;
    for (
      const [header, value] of Object.entries(
        dialect.replyHeaders(from.headers),
      )
    ) {
      if (value !== undefined) response.setHeader(header, value);
    }
    markClose();
    response.statusCode = from.status;
    if (isFramed(from.headers)) return;
    // The end of the connection delimits this response, so the caller must be able to see a truncation too.
    isFramedRelay = false;
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }

  function writeEvents(from: Reply, bytes: Buffer): void {
    response.write(bytes);
    if (response.writableLength < MAX_UNREAD_BYTES) return;
    from.attempt?.pause();
    response.once("drain", () => from.attempt?.resume());
  }

  function onData(from: Reply, chunk: Buffer): void {
    const isEvents = from.isStream && from.facts?.verdict === "ran";
    if (!isEvents) return keep(from, chunk);
    const whole = from.splitter.push(chunk);
    if (whole === undefined) return;
    if (!isRelaying) writeHead(from);
    writeEvents(from, whole.bytes);
    const { lastEvent } = whole;
    dispatch({
      kind: "reply_progressed",
      request: name,
      attempt: from.number,
      lastEvent,
    });
  }

  function keep(from: Reply, chunk: Buffer): void {
    from.chunks.push(chunk);
    from.size += chunk.length;
    if (from.size > MAX_ANSWER_BYTES) fail(from, "body_cut_off");
  }

  function fail(
    from: Reply,
    outcome: Extract<EventBody, { kind: "reply_failed" }>["outcome"],
  ): void {
    from.attempt?.cancel();
    dispatch({
      kind: "reply_failed",
      request: name,
      attempt: from.number,
      outcome,
    });
  }

  function onHeaders(from: Reply, status: number, headers: ReplyHeaders): void {
    const facts = dialect.readReply(status, headers, { id });
    from.status = status;
    from.headers = headers;
    from.facts = facts;
    dispatch({
      kind: "reply_began",
      request: name,
      attempt: from.number,
      status,
      verdict: facts.verdict,
      load: facts.load,
    });
    const isForeign = status < 300 && !facts.isGenuine;
    if (isForeign) fail(from, "foreign_answer");
  }

  /**
   * Returns true if a resumed stream ends only with its connection while the relayed one is framed: it may be cut off,
   * but the relayed stream would look complete.
   */
  function endsInDoubt({ isStream, headers }: Reply): boolean {
    return isStream && isRelaying && isFramedRelay && !isFramed(headers);
  }

  function onEnd(from: Reply): void {
    if (from.splitter.hasRest() || endsInDoubt(from)) {
      return fail(from, "body_cut_off");
    }
    const { status, facts } = from;
    const relayable = facts!.verdict === "may_have_run" &&
      !PROMISES.has(status) && status >= 300;
    dispatch({
      kind: "reply_ended",
      request: name,
      attempt: from.number,
      status,
      verdict: facts!.verdict,
      relayable,
    });
  }

  return {
    send(effect) {
      const from: Reply = {
        number: effect.attempt,
        isStream: effect.isStream,
        attempt: undefined,
        status: 0,
        headers: {},
        facts: undefined,
        chunks: [],
        size: 0,
        splitter: createEventSplitter(),
      };
      reply = from;
      const { runner, remainingMs, team, resumeAfter } = effect;
      const urgency = effect.isStream ? effect.urgency : undefined;
      const agent = effect.isRepeatable ? agents.reusing : agents.fresh;
      from.attempt = startAttempt(agent, {
        origin: `http://${effect.address}`,
        path: request.url!,
        method: request.method as "GET",
        headers: dialect.requestHeaders(request.rawHeaders, {
          runner,
          remainingMs,
          urgency,
          team,
          resumeAfter,
        }),
        body: body.length > 0 ? body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      }, {
        events: {
          onHeaders: (status, headers) => onHeaders(from, status, headers),
          onData: (chunk) => onData(from, chunk),
          onEnd: () => onEnd(from),
          onFailure: (outcome) => fail(from, outcome),
        },
      });
    },
    relay(attempt) {
      if (reply?.number !== attempt || isRelaying) return;
      if (reply.isStream && reply.facts?.verdict === "ran") return;
      writeHead(reply);
      const whole = Buffer.concat(reply.chunks);
      if (isFramedRelay) response.setHeader("content-length", whole.length);
      response.write(whole);
    },
    cancel(attempt) {
      if (reply?.number === attempt) reply.attempt?.cancel();
    },
    refuse(effect) {
      if (isRelaying) {
        response.destroy();
        return;
      }
      const { code, message, verdict, retryAfterMs } = effect;
      response.statusCode = statusOfRefusal(effect);
      response.setHeader("content-type", "application/json");
      if (retryAfterMs !== undefined) {
        response.setHeader("retry-after", String(retryAfterMs / MS_PER_SECOND));
      }
      markClose();
      response.end(JSON.stringify({ error: { code, message, verdict } }));
    },
    finish() {
      if (reply !== undefined && !isRelaying) writeHead(reply);
      response.end();
    },
  };
}
