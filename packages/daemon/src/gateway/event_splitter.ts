/**
 * Splits a stream of server-sent events into complete events without changing a byte.
 *
 * @module
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Complete events of a stream. */
export interface CompleteEvents {
  bytes: Buffer;
  /** Id of the last event that has one. */
  lastEvent: string | undefined;
}

/** Splits a stream into complete events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that are now complete, if any. */
  push(chunk: Buffer): CompleteEvents | undefined;
  /** Returns the bytes of an incomplete event that are buffered. */
  partialBytes(): number;
}

/** Returns the position after the last empty line, or 0. */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    const isPair = index > 1 && bytes[index - 1] === CARRIAGE_RETURN &&
      bytes[index - 2] === LINE_FEED;
    if (isPair) return index + 1;
  }
  return 0;
}

function findLastEventId(bytes: Buffer): string | undefined {
  const text = bytes.toString("latin1");
  const matches = [...text.matchAll(/^id:[ ]?([^\r\n]*)/gm)];
  return matches.at(-1)?.[1];
}

/**
 * Creates a splitter.
 *
 * @example
 * ```ts
 * const splitter = createEventSplitter();
 * splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\n"))?.lastEvent; // "1"
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
      const end = endOfLastEvent(bytes);
      partial = bytes.subarray(end);
      if (end === 0) return undefined;
      const complete = bytes.subarray(0, end);
      return { bytes: complete, lastEvent: findLastEventId(complete) };
    },
    partialBytes: () => partial.length,
  };
}
