/**
 * Tells of the end of a connection as soon as it is read.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

const watchers = new WeakMap<Socket, Set<() => void>>();

/** Returns what is called at the end of a connection, once for all requests on it. */
function watchersOf(socket: Socket): Set<() => void> {
  const known = watchers.get(socket);
  if (known !== undefined) return known;
  const added = new Set<() => void>();
  watchers.set(socket, added);
  const callAll = () => {
    for (const onEnd of added) onEnd();
    added.clear();
  };
  socket.once("end", callAll).once("error", callAll);
  return added;
}

/**
 * Calls `onEnd` once: when the end of a request's connection is read while its answer is open, and in any case once the answer
 * is closed. The event `close` of an answer alone comes some turns of the event loop after the end was read.
 *
 * @example
 * ```ts
 * onConnectionEnd(request, response, () => dispatch({ kind: "caller_gone", request: id }));
 * ```
 */
export function onConnectionEnd(
  { socket }: IncomingMessage,
  response: ServerResponse,
  onEnd: () => void,
): void {
  const watchers = watchersOf(socket);
  watchers.add(onEnd);
  response.once("close", () => {
    if (watchers.delete(onEnd)) onEnd();
  });
}
