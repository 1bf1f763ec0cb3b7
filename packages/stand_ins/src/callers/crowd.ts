/**
 * A crowd of callers that send requests of legal size in unusual forms, and leave most of them unfinished.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Form of the bodies that a crowd sends. */
export type CrowdBody =
  /** Neither a body nor a head: connections that stay silent. */
  | { kind: "nothing" }
  /** One write for all that is sent. */
  | { kind: "whole"; bytes: number }
  /** Many writes of `pieceBytes`. */
  | { kind: "pieces"; bytes: number; pieceBytes: number }
  /** Chunked encoding with chunks of `chunkBytes`. */
  | { kind: "chunks"; bytes: number; chunkBytes: number };

/** Options of {@link openCrowd}. */
export interface CrowdOptions {
  host: string;
  port: number;
  connections: number;
  /** First line and headers of each request, without those that frame the body. */
  head: readonly string[];
  body: CrowdBody;
  /** Bytes by which an unfinished body falls short of its end. */
  missingBytes: number;
  /** One caller in so many sends its whole body. */
  finishedOneIn: number;
  /** Time for which the crowd sends at most, ms. */
  maxSendMs: number;
}

/** Connections of a crowd. */
export interface Crowd {
  /** Resolves once each caller has sent what it sends, or has lost its connection, or the time is over. */
  sent: Promise<void>;
  /** Returns the number of connections that are still open. */
  openCount(): number;
  close(): void;
}

const WRITE_BYTES = 64 * 1024;
const FILLER = "x";
/** Shared by all callers, so that the crowd itself takes little memory. */
const FILLED = Buffer.alloc(4 * 1024 * 1024, FILLER);

/** A body of which something is sent. */
type SentBody = Exclude<CrowdBody, { kind: "nothing" }>;

function framingHeader({ kind, bytes }: SentBody): string {
  return kind === "chunks"
    ? "transfer-encoding: chunked"
    : `content-length: ${bytes}`;
}

function* repeat(piece: Buffer, count: number): Generator<Buffer> {
  const perWrite = Math.max(1, Math.floor(WRITE_BYTES / piece.length));
  const joined = Buffer.alloc(perWrite * piece.length, piece);
  for (let left = count; left > 0; left -= perWrite) {
    yield joined.subarray(0, Math.min(left, perWrite) * piece.length);
  }
}

/** Yields what is written of a body, one write each. */
function* writesOf(
  body: SentBody,
  { missingBytes }: { missingBytes: number },
): Generator<Buffer> {
  const length = Math.min(FILLED.length, body.bytes - missingBytes);
  if (body.kind === "whole") {
    yield FILLED.subarray(0, length);
  } else if (body.kind === "pieces") {
    for (let left = length; left > 0; left -= body.pieceBytes) {
      yield FILLED.subarray(0, Math.min(left, body.pieceBytes));
    }
  } else {
    const { chunkBytes } = body;
    const text = FILLER.repeat(chunkBytes);
    const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${text}\r\n`);
    yield* repeat(chunk, Math.floor(length / chunkBytes));
    if (missingBytes === 0) yield Buffer.from("0\r\n\r\n");
  }
}

function drained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const settle = () => {
      socket.off("drain", settle).off("close", settle);
      resolve();
    };
    socket.once("drain", settle).once("close", settle);
  });
}

function connected(socket: Socket): Promise<void> {
  return new Promise((resolve) =>
    socket.once("connect", resolve).once("close", () => resolve())
  );
}

async function sendRequest(
  socket: Socket,
  { head, body, missingBytes }: Pick<
    CrowdOptions,
    "head" | "body" | "missingBytes"
  >,
): Promise<void> {
  if (body.kind === "nothing") return connected(socket);
  socket.write(`${[...head, framingHeader(body)].join("\r\n")}\r\n\r\n`);
  for (const bytes of writesOf(body, { missingBytes })) {
    if (socket.destroyed) return;
    if (!socket.write(bytes)) await drained(socket);
  }
}

/**
 * Opens the connections of a crowd, and sends a request on each.
 *
 * @example
 * ```ts
 * const crowd = openCrowd({ host, port, connections: 60, head, body, ...rest });
 * await crowd.sent;
 * crowd.close();
 * ```
 */
export function openCrowd(options: CrowdOptions): Crowd {
  const { host, port, connections, finishedOneIn, maxSendMs } = options;
  const sockets = Array.from({ length: connections }, () => {
    const socket = connect({ host, port, noDelay: true });
    socket.on("error", () => undefined);
    socket.resume();
    return socket;
  });
  const allSent = Promise.all(sockets.map((socket, index) => {
    const isFinished = index % finishedOneIn === 0;
    const missingBytes = isFinished ? 0 : options.missingBytes;
    return sendRequest(socket, { ...options, missingBytes });
  }));
  return {
    sent: Promise.race([
      allSent.then(() => undefined),
      sleep(maxSendMs, undefined, { ref: false }),
    ]),
    openCount: () => sockets.filter(({ closed }) => !closed).length,
    close: () => sockets.forEach((socket) => socket.destroy()),
  };
}
