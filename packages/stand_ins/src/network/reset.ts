/**
 * Resets connections as a process does that ends with unread bytes.
 *
 * @module
 */
import type { Socket } from "node:net";

/**
 * Resets a connection with nothing before it; `resetAndDestroy` of a socket ends its connection in order first.
 *
 * @example
 * ```ts
 * socket.write("HTTP/1.1 200 OK\r\n\r\npart");
 * resetAtOnce(socket);
 * ```
 */
export function resetAtOnce(socket: Socket): void {
  const { _handle: handle } = socket as unknown as {
    _handle: { reset(callback: () => void): void } | null;
  };
  handle?.reset(() => undefined);
  socket.destroy();
}
