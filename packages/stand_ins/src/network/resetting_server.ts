/**
 * A server for tests that answers each request with given bytes and then ends or resets its connection.
 *
 * @module
 */
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { resetAtOnce } from "./reset.ts";

/** How a connection ends after an answer; a reset comes a time after the bytes, `undefined` in the same turn, ms. */
export type AnswerEnd =
  | { kind: "ordered" }
  | { kind: "reset"; afterMs: number | undefined };

/** What the server does with each request. */
export interface ScriptedAnswer {
  /** Bytes that arrive in one segment each. */
  segments: readonly (string | Buffer)[];
  end: AnswerEnd;
  /** True where the server reads what is uploaded after the request's first bytes. */
  readsUpload: boolean;
  /** Answer to the first request of a connection, which stays open; the scripted answer is for the second one. */
  first?: string;
  /** Called in the turn in which the connection is reset. */
  onReset?(): void;
}

/** A started server. */
export interface ResettingServer {
  port: number;
  /** Connections that were accepted. */
  connectionCount(): number;
  close(): void;
}

/** Time between two segments, ms. */
const SEGMENT_MS = 5;

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

async function writeAnswer(
  socket: Socket,
  { segments, end, onReset }: ScriptedAnswer,
): Promise<void> {
  for (const [index, segment] of segments.entries()) {
    if (index > 0) await sleep(SEGMENT_MS);
    socket.write(segment);
  }
  if (end.kind === "ordered") return void socket.end();
  if (end.afterMs !== undefined) await sleep(end.afterMs);
  resetAtOnce(socket);
  onReset?.();
}

/**
 * Starts the server on loopback; `answerOf` is asked once for each connection.
 *
 * @example
 * ```ts
 * const server = await startResettingServer(() => ({
 *   segments: ["HTTP/1.1 200 OK\r\n\r\npart"],
 *   end: { kind: "reset", afterMs: undefined },
 *   readsUpload: false,
 * }));
 * ```
 */
export async function startResettingServer(
  answerOf: () => ScriptedAnswer,
): Promise<ResettingServer> {
  let connections = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer({ allowHalfOpen: true }, (socket) => {
    connections += 1;
    sockets.add(socket);
    const answer = answerOf();
    socket.on("error", () => undefined);
    socket.once("close", () => sockets.delete(socket));
    socket.once("end", () => socket.end());
    const serve = () => {
      if (answer.readsUpload) socket.resume();
      else socket.pause();
      void writeAnswer(socket, answer);
    };
    socket.once("data", () => {
      if (answer.first === undefined) return serve();
      socket.write(answer.first);
      socket.once("data", serve);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    port: (server.address() as AddressInfo).port,
    connectionCount: () => connections,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
