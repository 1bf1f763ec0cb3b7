/**
 * Makes a socket report the reset of its connection also where the runtime reports an orderly end in its place.
 *
 * Where bytes and a reset are read in one turn of the event loop, the event loop's library reports the bytes and then the
 * end of the connection, since the operating system tells it that both directions are closed. Nothing in the events
 * of the socket tells such an end from one that the other side meant.
 *
 * @module
 */
import type { Socket } from "node:net";
import VError from "verror";

/** Code of the error of a connection that was reset. */
export const RESET_CODE = "ECONNRESET";

/**
 * Returns true if the connection of a socket that has just read its end was reset.
 *
 * The operating system knows the other side of a connection that has ended in one direction only, and not of one that was
 * reset. An orderly end counts as a reset where a reset has followed it by now, as where the other side has closed the
 * connection and bytes have reached it since. A socket that has ended its own direction as well is not asked, since both
 * ends look alike there.
 */
function wasReset(socket: Socket): boolean {
  return !socket.writableEnded && !socket.destroyed &&
    socket.remoteAddress === undefined;
}

function createResetError(): Error {
  const error = new VError(
    { name: "ConnectionResetError" },
    "Connection was reset together with the last bytes that arrived",
  );
  return Object.assign(error, { code: RESET_CODE, syscall: "read" });
}

/**
 * Watches a socket: an end that is the reset of its connection becomes an error with the code {@link RESET_CODE}.
 *
 * It has to be called before anything has read the socket's `remoteAddress`, which the runtime keeps, and for sockets of TCP
 * or TLS only, since others have none.
 *
 * @example
 * ```ts
 * const socket = connect(80, "10.0.0.1", () => watchReset(socket));
 * socket.on("error", ({ code }) => code); // "ECONNRESET"
 * ```
 */
export function watchReset(socket: Socket): void {
  const push = socket.push.bind(socket);
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk !== null || !wasReset(socket)) return push(chunk, encoding);
    socket.destroy(createResetError());
    return false;
  };
}
