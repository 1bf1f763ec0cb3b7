/**
 * Reads request bodies within limits.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { RequestError } from "./errors.ts";

/** Thrown when the caller disconnects before its body is complete. */
export class CutOffError extends Error {}

/**
 * Reads a complete body of at most `maxBytes`.
 *
 * @throws {RequestError} The body is too large.
 * @throws {CutOffError} The caller disconnected before the end.
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
          `Cannot accept a body of more than ${maxBytes} bytes; send a shorter one`,
        );
      }
      chunks.push(chunk as Buffer);
    }
  } catch (error) {
    if (error instanceof RequestError) throw error;
    throw new CutOffError("Cannot read the body: the caller disconnected");
  }
  if (!request.complete) {
    throw new CutOffError("Cannot read the body: the caller disconnected");
  }
  return Buffer.concat(chunks);
}

/** Start of a body: all of it if it fits the limit, else its first part. */
export interface BodyStart {
  bytes: Buffer;
  isWhole: boolean;
}

/**
 * Reads the start of a body up to `maxBytes`, so that a small body can be sent again on a retry.
 *
 * @throws {CutOffError} The caller disconnected before the end.
 */
export async function readBodyStart(
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
        return { bytes: Buffer.concat(chunks), isWhole: false };
      }
    }
  } catch {
    throw new CutOffError("Cannot read the body: the caller disconnected");
  }
  if (!request.complete) {
    throw new CutOffError("Cannot read the body: the caller disconnected");
  }
  return { bytes: Buffer.concat(chunks), isWhole: true };
}
