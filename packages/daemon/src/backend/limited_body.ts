/**
 * Reads bodies of answers within limits, since a faulty server may send bytes without end.
 *
 * @module
 */
import VError from "verror";

/** Name of the error of a body that is longer than its limit. */
export const BODY_TOO_LONG = "BodyTooLongError";

/**
 * Reads a whole body; the connection of a longer one is closed.
 *
 * @throws {VError} The body is longer than `maxBytes`; the error's name is {@link BODY_TOO_LONG}.
 *
 * @example
 * ```ts
 * const bytes = await readLimited(response.body, { maxBytes: 64 * 1024 });
 * ```
 */
export async function readLimited(
  body: AsyncIterable<Uint8Array>,
  { maxBytes }: { maxBytes: number },
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  // Leaving the loop closes the connection.
  for await (const chunk of body) {
    size += chunk.length;
    if (size > maxBytes) {
      throw new VError(
        { name: BODY_TOO_LONG, info: { maxBytes } },
        "Answer is longer than %d bytes",
        maxBytes,
      );
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** As {@link readLimited}, for a body in JSON. */
export async function readLimitedJson<T>(
  body: AsyncIterable<Uint8Array>,
  limit: { maxBytes: number },
): Promise<T> {
  return JSON.parse((await readLimited(body, limit)).toString("utf8")) as T;
}
