/**
 * Splits a stream of server-sent events into complete events without changing a byte.
 *
 * @module
 */
import type { EventMark } from "@primroseshed/core";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** A complete event of a stream. */
export interface CompleteEvent extends EventMark {
  /** Position of its end in the bytes of the events that came with it. */
  end: number;
}

/** Complete events of a stream. */
export interface CompleteEvents {
  bytes: Buffer;
  events: CompleteEvent[];
}

/** Splits a stream into complete events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that are now complete, if any. */
  push(chunk: Buffer): CompleteEvents | undefined;
  /** Returns the bytes of an incomplete event that are buffered. */
  partialBytes(): number;
}

const ID_LINE = /^id: ?([^ \r\n][^\r\n]*)/gm;
const DATA_LINE = /^data[:\r\n]/m;

function markOf(event: Buffer): EventMark {
  const text = event.toString("latin1");
  const id = [...text.matchAll(ID_LINE)].at(-1)?.[1];
  return { id, hasData: DATA_LINE.test(text) };
}

/** Returns the events that end with an empty line, which only its line feed completes. */
function readEvents(bytes: Buffer): CompleteEvent[] {
  const events: CompleteEvent[] = [];
  let start = 0;
  let line = 0;
  for (
    let lineFeed = bytes.indexOf(LINE_FEED);
    lineFeed >= 0;
    lineFeed = bytes.indexOf(LINE_FEED, line)
  ) {
    const isEmpty = lineFeed === line ||
      (lineFeed === line + 1 && bytes[line] === CARRIAGE_RETURN);
    line = lineFeed + 1;
    if (!isEmpty) continue;
    events.push({ ...markOf(bytes.subarray(start, line)), end: line });
    start = line;
  }
  return events;
}

/**
 * Creates a splitter.
 *
 * @example
 * ```ts
 * const splitter = createEventSplitter();
 * splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\n"))?.events.length; // 1
 * splitter.partialBytes(); // 6
 * ```
 */
export function createEventSplitter(): EventSplitter {
  let partial: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes = partial.length === 0
        ? chunk
        : Buffer.concat([partial, chunk]);
      const events = readEvents(bytes);
      const end = events.at(-1)?.end ?? 0;
      partial = bytes.subarray(end);
      return end === 0 ? undefined : { bytes: bytes.subarray(0, end), events };
    },
    partialBytes: () => partial.length,
  };
}
