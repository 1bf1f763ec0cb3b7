/**
 * Relays the events of one caller's stream, whole and in order, over all attempts that produce it.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import {
  advanceOrder,
  createEventOrder,
  type EventBody,
  type EventOrder,
  type LogEventName,
} from "@primroseshed/core";
import type { CallerAnswer } from "./caller_answer.ts";
import type { CompleteEvent } from "./event_splitter.ts";
import type { UpstreamResponse } from "./upstream_response.ts";

/** Relay of the events of one stream. */
export interface EventRelay {
  /** Records that an attempt is sent, which produces the events after the one that it is told, if any. */
  beginRun(resumeAfter: string | undefined): void;
  /** Writes the head of the caller's answer, unless that has begun. */
  begin(upstream: UpstreamResponse): void;
  /** Takes bytes of a response, and passes on the events that are now whole. */
  push(upstream: UpstreamResponse, chunk: Buffer): void;
}

/** Options of {@link createEventRelay}. */
export interface EventRelayOptions {
  /** Name of the request in events. */
  name: string;
  response: ServerResponse;
  answer: CallerAnswer;
  /** Returns false once a response has been released. */
  isOpen(upstream: UpstreamResponse): boolean;
  /** Fails the attempt of a response whose events are not those of the stream. */
  fail(upstream: UpstreamResponse): void;
  /** Counts what the caller has not read yet. */
  countUnread(): void;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Largest event of a stream, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Bytes that a caller may leave unread before the response of its runner is paused. */
const MAX_UNREAD_BYTES = 256 * 1024;

/**
 * Creates the relay of one stream.
 *
 * @example
 * ```ts
 * const events = createEventRelay({ name, response, answer, isOpen, fail, countUnread, dispatch, log });
 * events.beginRun(undefined);
 * events.push(upstream, Buffer.from("id: 1\ndata: a\n\n"));
 * ```
 */
export function createEventRelay(options: EventRelayOptions): EventRelay {
  const { name, response, answer, isOpen, fail, countUnread, dispatch, log } =
    options;
  let order: EventOrder | undefined;

  function begin({ status, relayedHeaders: headers }: UpstreamResponse): void {
    if (answer.hasBegun()) return;
    const length = undefined;
    answer.begin({ status, headers, length, endsWithConnection: false });
  }

  function write(upstream: UpstreamResponse, bytes: Buffer): void {
    response.write(bytes);
    countUnread();
    if (response.writableLength < MAX_UNREAD_BYTES) return;
    upstream.attempt?.pause();
    reportBlocked(upstream, true);
    response.once("drain", () => {
      upstream.attempt?.resume();
      reportBlocked(upstream, false);
    });
  }

  function reportBlocked(
    { number: attempt }: UpstreamResponse,
    isBlocked: boolean,
  ): void {
    dispatch({ kind: "relay_blocked", request: name, attempt, isBlocked });
  }

  function passOn(
    upstream: UpstreamResponse,
    bytes: Buffer,
    events: readonly CompleteEvent[],
  ): void {
    const last = events.at(-1);
    if (last === undefined) return;
    upstream.hasEvents ||= events.some(({ id, hasData }) =>
      id !== undefined || hasData
    );
    begin(upstream);
    write(upstream, bytes.subarray(0, last.end));
    dispatch({
      kind: "response_progressed",
      request: name,
      attempt: upstream.number,
      lastEvent: events.findLast(({ id }) => id !== undefined)?.id,
    });
  }

  /** Ends an attempt whose next event does not follow the last one that the caller has. */
  function failDisordered(
    upstream: UpstreamResponse,
    { id: event }: CompleteEvent,
  ): void {
    if (!isOpen(upstream)) return;
    const { number: attempt } = upstream;
    const last = order!.last?.toString();
    log("frame_broken", { request: name, attempt, event, last });
    fail(upstream);
  }

  return {
    beginRun(resumeAfter) {
      order ??= createEventOrder(resumeAfter);
      order.isNewRun = true;
    },
    begin,
    push(upstream, chunk) {
      const complete = upstream.splitter.push(chunk);
      if (complete !== undefined) {
        const { bytes, events } = complete;
        const broken = events.findIndex((event) =>
          advanceOrder(order!, event) === "broken_frame"
        );
        const inOrder = broken < 0 ? events : events.slice(0, broken);
        passOn(upstream, bytes, inOrder);
        if (broken >= 0) return failDisordered(upstream, events[broken]!);
      }
      if (!isOpen(upstream)) return;
      const partialBytes = upstream.splitter.partialBytes();
      if (partialBytes > MAX_EVENT_BYTES) return fail(upstream);
      // It may be given up for this, so what it passes on comes before.
      upstream.share.set(partialBytes);
    },
  };
}
