/**
 * Writes bytes without end to a connection, as a faulty runner may.
 *
 * @module
 */
import type { Socket } from "node:net";

const ENDLESS_CHUNK = Buffer.alloc(64 * 1024, "x");

/** Writes to a connection, as fast as the other side reads, until that closes it. */
export function writeEndlessly(socket: Socket, head: string): void {
  const write = () => {
    while (!socket.destroyed && socket.write(ENDLESS_CHUNK));
  };
  socket.write(head);
  socket.on("drain", write);
  write();
}
