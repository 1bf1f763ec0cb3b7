/**
 * Accounts for the bytes of an answer that its caller has not read yet.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { BufferBudget } from "./buffer_budget.ts";

/** Options of {@link watchUnread}. */
export interface UnreadOptions {
  /** Bytes that all responses may hold. */
  buffers: BufferBudget;
  /** Called with the bytes left unread where this answer holds most when the budget is exceeded. */
  onGivenUp(bytes: number): void;
}

/**
 * Watches an answer.
 *
 * @returns The function to call after each write.
 * @example
 * ```ts
 * const countUnread = watchUnread(response, { buffers, onGivenUp });
 * response.write(bytes);
 * countUnread();
 * ```
 */
export function watchUnread(
  response: ServerResponse,
  { buffers, onGivenUp }: UnreadOptions,
): () => void {
  const share = buffers.open(
    () => onGivenUp(response.writableLength),
    { isUnread: true },
  );
  let awaitsDrain = false;
  response.once("close", () => share.release());

  function forget(): void {
    awaitsDrain = false;
    share.release();
  }

  return () => {
    if (response.destroyed || !response.writableNeedDrain) return;
    share.set(response.writableLength);
    if (awaitsDrain) return;
    awaitsDrain = true;
    response.once("drain", forget);
  };
}
