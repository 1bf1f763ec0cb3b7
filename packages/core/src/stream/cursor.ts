/**
 * Keeps a resumable stream whole: never short, never repeated, never another request's text.
 *
 * @module
 */

/** Position in one attempt's stream of tokens. */
export interface StreamCursor {
  /** Id that every chunk must carry. */
  id: string;
  /** Offset of the next token the caller still lacks. */
  next: number;
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
export type ChunkVerdict =
  | "deliver"
  | "drop_duplicate"
  | "broken_frame"
  | "foreign_answer";

/**
 * Judges a chunk and moves the cursor past it when it is to be delivered.
 *
 * @example
 * ```ts
 * const cursor = { id: "r1", next: 4 };
 * judgeChunk(cursor, { id: "r1", offset: 3, tokens: 1 }); // "drop_duplicate"
 * judgeChunk(cursor, { id: "r1", offset: 4, tokens: 1 }); // "deliver"
 * judgeChunk(cursor, { id: "r1", offset: 9, tokens: 1 }); // "broken_frame"
 * ```
 */
export function judgeChunk(
  cursor: StreamCursor,
  chunk: StreamChunk,
): ChunkVerdict {
  if (chunk.id !== cursor.id) return "foreign_answer";
  if (
    !Number.isSafeInteger(chunk.offset) ||
    !Number.isSafeInteger(chunk.tokens) || chunk.tokens < 0
  ) {
    return "broken_frame";
  }
  if (chunk.offset + chunk.tokens <= cursor.next && chunk.tokens > 0) {
    return "drop_duplicate";
  }
  if (chunk.offset !== cursor.next) return "broken_frame";
  cursor.next += chunk.tokens;
  return "deliver";
}
