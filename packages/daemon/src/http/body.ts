/**
 * Reads request bodies within limits.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { createBodyCollector } from "../intake/body_collector.ts";
import type { HeldRequest } from "../intake/intake_gate.ts";
import { RequestError } from "./errors.ts";

/** Thrown when the caller disconnects before its body is complete. */
export class CutOffError extends Error {}

/** Options of {@link readBody} and {@link readBodyStart}. */
export interface ReadBodyOptions {
  maxBytes: number;
  /** What is held of the request; a body that is not accounted for is read without it. */
  held?: HeldRequest | undefined;
}

/** Drops what still arrives; a paused request would queue the chunks that are in hand. */
function discardRest(request: IncomingMessage): void {
  request.on("data", () => undefined);
}

/** Start of a body: all of it if it fits the limit, else its first part. */
export interface BodyStart {
  bytes: Buffer;
  isWhole: boolean;
}

/**
 * Reads a complete body of at most `maxBytes`.
 *
 * @throws {RequestError} The body is too large.
 * @throws {CutOffError} The caller disconnected before the end.
 * @throws {GivenUpError} The daemon gave the request up.
 */
export async function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Buffer> {
  const { bytes, isWhole } = await readBodyStart(request, options);
  if (isWhole) return bytes;
  throw new RequestError(
    "body_too_large",
    `Cannot accept a body of more than ${options.maxBytes} bytes; send a shorter one`,
  );
}

/**
 * Reads the start of a body up to `maxBytes`, so that a small body can be sent again on a retry. The rest stays unread.
 *
 * @throws {CutOffError} The caller disconnected before the end.
 * @throws {GivenUpError} The daemon gave the request up.
 */
export function readBodyStart(
  request: IncomingMessage,
  { maxBytes, held }: ReadBodyOptions,
): Promise<BodyStart> {
  const collector = createBodyCollector();
  return new Promise((resolve, reject) => {
    let isSettled = false;

    function stop(): void {
      isSettled = true;
      request.off("data", add).off("end", end).off("close", cutOff);
      if (request.listenerCount("data") === 0) request.pause();
    }

    function fail(error: Error): void {
      stop();
      collector.clear();
      reject(error);
    }

    function cutOff(): void {
      fail(new CutOffError("Cannot read the body: the caller disconnected"));
    }

    function finish(isWhole: boolean): void {
      stop();
      if (isWhole) held?.setStage("waiting");
      const bytes = collector.take();
      held?.setBodyBytes(bytes.length);
      resolve({ bytes, isWhole });
    }

    function end(): void {
      if (request.complete) finish(true);
      else cutOff();
    }

    function add(chunk: Buffer): void {
      collector.add(chunk);
      held?.addReceived(chunk.length);
      if (isSettled) return;
      if (collector.size() > maxBytes) return finish(false);
      held?.setBodyBytes(collector.heldBytes());
    }

    if (request.destroyed && !request.readableEnded) return cutOff();
    // The listener stays, since an error without one would end the process.
    request.on("error", cutOff);
    request.on("data", add).on("end", end).on("close", cutOff);
    // Chunks of the bytes in hand are then passed on one by one, in place of being queued as objects first.
    request.read(0);
    held?.setAwaiting(true);
    held?.whenGivenUp((error) => {
      if (!isSettled) discardRest(request);
      fail(error);
    });
  });
}
