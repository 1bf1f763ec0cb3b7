/**
 * Reads request bodies within limits.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { RequestError } from "./errors.ts";

/** Raised when the caller went away before its body was whole. */
export class CutOffError extends Error {}

/**
 * Reads a whole body of at most `maxBytes`.
 *
 * @throws {RequestError} The body is too large.
 * @throws {CutOffError} The caller left before the end.
 */
export async function readBody(
  request: IncomingMessage,
  { maxBytes }: { maxBytes: number },
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      size += (chunk as Buffer).length;
      if (size > maxBytes) {
        throw new RequestError(
          "body_too_large",
          `Cannot take a body of more than ${maxBytes} bytes`,
        );
      }
      chunks.push(chunk as Buffer);
    }
  } catch (error) {
    if (error instanceof RequestError) throw error;
    throw new CutOffError("Cannot read the body: the caller left");
  }
  if (!request.complete) {
    throw new CutOffError("Cannot read the body: the caller left");
  }
  return Buffer.concat(chunks);
}

/** Start of a body: whole if it fits, else the first part with the rest still to come. */
export interface BodyStart {
  bytes: Buffer;
  whole: boolean;
}

/**
 * Reads up to `maxBytes`, so that a small body can be sent again on a retry.
 *
 * @throws {CutOffError} The caller left before the end.
 */
export async function readStart(
  request: IncomingMessage,
  { maxBytes }: { maxBytes: number },
): Promise<BodyStart> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      chunks.push(chunk as Buffer);
      size += (chunk as Buffer).length;
      if (size > maxBytes) {
        return { bytes: Buffer.concat(chunks), whole: false };
      }
    }
  } catch {
    throw new CutOffError("Cannot read the body: the caller left");
  }
  if (!request.complete) {
    throw new CutOffError("Cannot read the body: the caller left");
  }
  return { bytes: Buffer.concat(chunks), whole: true };
}
