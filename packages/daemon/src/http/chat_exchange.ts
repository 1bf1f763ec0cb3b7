/**
 * The exchange of one chat completion: relays a resumable engine stream to its caller, as a stream or as one response.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  advanceCursor,
  type EventBody,
  type LogEventName,
  type Outcome,
  type StoredResponse,
  type StreamCursor,
} from "@primroseshed/core";
import {
  createEngineStream,
  type EngineChunk,
  type EngineUsage,
} from "../backend/engine_stream.ts";
import {
  type Agents,
  type Attempt,
  startAttempt,
} from "../backend/transport.ts";
import { monotonicNow } from "../driver/driver.ts";
import { reportServer } from "../backend/server_report.ts";
import { breakOff } from "./break_off.ts";
import { createChatFormat, formatUsage, type Usage } from "./chat_format.ts";
import type { ChatRequest } from "./chat_request.ts";
import { errorBody, sendError, sendJson } from "./errors.ts";
import type { Exchange, RefuseEffect, SendEffect } from "./exchanges.ts";

/** Options of {@link createChatExchange}. */
export interface ChatExchangeOptions {
  id: string;
  chat: ChatRequest;
  request: IncomingMessage;
  response: ServerResponse;
  agents: Agents;
  firstByteTimeoutMs: number;
  /** The connection of a caller that reads nothing for this long is closed, ms. */
  callerStallMs: number;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields: Record<string, unknown>): void;
}

const MS_PER_SECOND = 1_000;
const KEEP_ALIVE_INTERVAL_MS = 500;
const STREAM_HEADERS = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-cache",
  "x-accel-buffering": "no",
};

interface CurrentAttempt {
  number: number;
  attempt: Attempt;
}

/** Largest event of an engine, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Creates the exchange of one chat completion. */
export function createChatExchange(options: ChatExchangeOptions): Exchange {
  const { id, chat, request, response, agents, dispatch, log } = options;
  const cursor: StreamCursor = { id, next: 0, isNewRun: true };
  const maxTokens = chat.body.max_tokens ?? Infinity;
  const format = createChatFormat({
    id,
    model: chat.body.model,
    created: Math.floor(Date.now() / MS_PER_SECOND),
  });
  let decoder = new TextDecoder();
  let unreportedTokens = 0;
  let text = "";
  let usage: EngineUsage | undefined;
  let finishReason: string | null = null;
  let current: CurrentAttempt | undefined;
  let stallTimer: NodeJS.Timeout | undefined;

  function currentUsage(): Usage {
    const promptTokens = usage?.promptTokens ?? chat.promptTokens;
    const cachedTokens = usage?.cachedTokens ?? 0;
    return formatUsage(promptTokens, cursor.next, { cachedTokens });
  }

  function writeEvent(body: unknown): void {
    if (response.destroyed) return;
    const hasRoom = response.write(
      `data: ${typeof body === "string" ? body : JSON.stringify(body)}\n\n`,
    );
    if (!hasRoom) pauseEngine();
  }

  // A slow caller pauses its engine stream; keep-alive events tell the reducer that the stream itself is healthy.
  function pauseEngine(): void {
    if (stallTimer !== undefined || current === undefined) return;
    const { attempt, number } = current;
    const since = monotonicNow();
    attempt.pause();
    const checkCaller = () => {
      if (stallTimer === undefined) return;
      dispatch({ kind: "attempt_accepted", request: id, attempt: number });
      if (monotonicNow() - since > options.callerStallMs) response.destroy();
    };
    // The caller may have read on without the notice of a late event loop.
    stallTimer = setInterval(
      () => setImmediate(checkCaller),
      KEEP_ALIVE_INTERVAL_MS,
    );
    response.once("drain", resumeEngine);
    response.once("close", resumeEngine);
  }

  function resumeEngine(): void {
    clearInterval(stallTimer);
    stallTimer = undefined;
    response.off("drain", resumeEngine);
    response.off("close", resumeEngine);
    current?.attempt.resume();
  }

  function startStream(): void {
    if (response.headersSent) return;
    response.writeHead(200, { ...STREAM_HEADERS, "primrose-request-id": id });
    writeEvent(format.chunk({ role: "assistant", content: "" }));
  }

  function deliver(chunk: EngineChunk): void {
    text += chunk.text;
    usage = chunk.usage ?? usage;
    finishReason = chunk.finishReason ?? finishReason;
    if (chat.stream) startStream();
    if (chat.stream && chunk.text !== "") {
      writeEvent(format.textChunk(chunk.text));
    }
    unreportedTokens += chunk.tokens;
  }

  // Tokens that arrive in one packet are sent in one write and reported to the reducer as one event.
  function handleData(
    data: Buffer,
    { number, feed }: { number: number; feed(text: string): void },
  ): void {
    unreportedTokens = 0;
    response.cork();
    feed(decoder.decode(data, { stream: true }));
    response.uncork();
    flushProgress(number);
  }

  function flushProgress(number: number): void {
    const tokens = unreportedTokens;
    unreportedTokens = 0;
    if (tokens > 0) {
      dispatch({
        kind: "attempt_progress",
        request: id,
        attempt: number,
        tokens,
      });
    }
  }

  function endAttempt(
    number: number,
    outcome: Outcome,
    extra: { retryAfterMs?: number } = {},
  ): void {
    if (current?.number !== number) return;
    flushProgress(number);
    current.attempt.cancel();
    current = undefined;
    dispatch({
      kind: "attempt_ended",
      request: id,
      attempt: number,
      outcome,
      ...(usage &&
        { promptTokens: usage.promptTokens, cachedTokens: usage.cachedTokens }),
      ...extra,
    });
  }

  function handleChunk(chunk: EngineChunk, number: number): void {
    if (current?.number !== number) return;
    const isTooMuch = cursor.next >= maxTokens && chunk.offset >= maxTokens &&
      chunk.tokens > 0;
    const verdict = isTooMuch ? "broken_frame" : advanceCursor(cursor, chunk);
    if (verdict === "deliver") return deliver(chunk);
    if (verdict === "drop_duplicate") return;
    const event = verdict === "foreign_answer"
      ? "answer_foreign"
      : "frame_broken";
    log(event, { request: id, offset: chunk.offset, expected: cursor.next });
    endAttempt(number, verdict);
  }

  function send(
    {
      attempt: number,
      address,
      rank,
      lowUsage,
      group,
      epoch,
      resumeFrom,
      remainingMs,
    }: SendEffect,
  ): void {
    current?.attempt.cancel();
    cursor.isNewRun = true;
    let status = 0;
    let retryAfterMs: number | undefined;
    let isDone = false;
    decoder = new TextDecoder();
    let bytesSinceChunk = 0;
    const parser = createEngineStream({
      onChunk(chunk) {
        bytesSinceChunk = 0;
        handleChunk(chunk, number);
      },
      onDone: () => isDone = true,
      onBroken(cause) {
        if (current?.number !== number) return;
        log("frame_broken", { request: id, cause });
        endAttempt(number, "broken_frame");
      },
    });
    const body = JSON.stringify({
      ...chat.body,
      stream: true,
      resume: { offset: resumeFrom, text },
    });
    const attempt = startAttempt(agents.reusing, {
      origin: address,
      path: "/v1/chat/completions",
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-request-id": id,
        "x-priority": lowUsage ? `${rank}-first` : rank,
        "x-group": group ?? "",
        "x-epoch": String(epoch ?? ""),
        "x-remaining-ms": String(remainingMs),
      },
      body,
      headersTimeout: options.firstByteTimeoutMs,
    }, {
      events: {
        onHeaders(received, headers) {
          status = received;
          retryAfterMs = Number(headers["retry-after"] ?? NaN) * MS_PER_SECOND;
          reportServer({ request: id, attempt: number, status, headers }, {
            dispatch,
          });
          dispatch({ kind: "attempt_accepted", request: id, attempt: number });
        },
        onData(chunk) {
          if (status !== 200) return;
          bytesSinceChunk += chunk.length;
          handleData(chunk, { number, feed: (part) => parser.feed(part) });
          if (bytesSinceChunk <= MAX_EVENT_BYTES) return;
          log("frame_broken", { request: id, cause: "an event is too long" });
          endAttempt(number, "broken_frame");
        },
        onEnd() {
          if (status !== 200) {
            const outcome = ENGINE_NOT_RUN_STATUSES.has(status)
              ? "status_not_run"
              : "status_error";
            return endAttempt(
              number,
              outcome,
              Number.isFinite(retryAfterMs)
                ? { retryAfterMs: retryAfterMs ?? 0 }
                : {},
            );
          }
          endAttempt(
            number,
            isDone && finishReason !== null ? "completed" : "body_cut_off",
          );
        },
        onFailure: (outcome) => endAttempt(number, outcome),
      },
    });
    current = { number, attempt };
  }

  function finishStream(): void {
    startStream();
    const reason = finishReason;
    const usage = currentUsage();
    writeEvent(
      format.chunk({}, chat.includeUsage ? { reason } : { reason, usage }),
    );
    if (chat.includeUsage) writeEvent(format.usageChunk(usage));
    writeEvent("[DONE]");
    response.end();
  }

  function finishResponse(): void {
    const body = format.completion(text, {
      reason: finishReason,
      usage: currentUsage(),
    });
    response.setHeader("primrose-verdict", "ran");
    response.setHeader("primrose-request-id", id);
    sendJson(response, 200, { body });
  }

  function refuse(effect: RefuseEffect): void {
    current?.attempt.cancel();
    current = undefined;
    if (!response.headersSent) return sendError(response, effect);
    writeEvent(errorBody(effect));
    response.end();
  }

  return {
    send,
    cancel(number) {
      if (current?.number !== number) return;
      current.attempt.cancel();
      current = undefined;
    },
    refuse,
    finish: () => chat.stream ? finishStream() : finishResponse(),
    replay(stored: StoredResponse) {
      response.writeHead(stored.status, { "content-type": stored.contentType });
      response.end(stored.body);
    },
    abandon() {
      current?.attempt.cancel();
      current = undefined;
      breakOff(request, response);
    },
  };
}

/** Statuses of an engine that did not start the request: wrong group or epoch, full, or leaving. */
const ENGINE_NOT_RUN_STATUSES: ReadonlySet<number> = new Set([409, 429, 503]);
