/**
 * Checks the chunks of a resumable stream, so that its caller gets every token once and no other request's text.
 *
 * @module
 */

/** Position in one caller's stream of tokens, over all runs that produce it. */
export interface StreamCursor {
  /** Id that every chunk must carry. */
  id: string;
  /** Offset of the next token to deliver to the caller. */
  next: number;
  /** True until the current run's first chunk, which must go on at the next token. */
  isNewRun: boolean;
}

/** One chunk of an engine's stream. */
export interface StreamChunk {
  id: string;
  /** Offset of the chunk's first token. */
  offset: number;
  /** Whole tokens in the chunk. */
  tokens: number;
}

/** What to do with a chunk. */
export type ChunkAction =
  | "deliver"
  | "drop_duplicate"
  | "broken_frame"
  | "foreign_answer";

/**
 * Returns what to do with a chunk, and moves the cursor past a chunk that is to be delivered.
 *
 * @example
 * ```ts
 * const cursor = { id: "r1", next: 4, isNewRun: true };
 * advanceCursor(cursor, { id: "r1", offset: 4, tokens: 1 }); // "deliver"
 * advanceCursor(cursor, { id: "r1", offset: 4, tokens: 1 }); // "drop_duplicate"
 * advanceCursor(cursor, { id: "r1", offset: 9, tokens: 1 }); // "broken_frame"
 * ```
 */
export function advanceCursor(
  cursor: StreamCursor,
  chunk: StreamChunk,
): ChunkAction {
  if (chunk.id !== cursor.id) return "foreign_answer";
  if (
    !Number.isSafeInteger(chunk.offset) ||
    !Number.isSafeInteger(chunk.tokens) || chunk.tokens < 0
  ) {
    return "broken_frame";
  }
  const isBehind = chunk.offset + chunk.tokens <= cursor.next;
  if (isBehind && chunk.tokens > 0 && !cursor.isNewRun) {
    return "drop_duplicate";
  }
  if (chunk.offset !== cursor.next) return "broken_frame";
  cursor.next += chunk.tokens;
  cursor.isNewRun = false;
  return "deliver";
}
