/**
 * Probes whether this daemon reaches a backend server.
 *
 * @module
 */
import type { Connect } from "./transport.ts";

/**
 * Opens a connection to `address`, `IP:PORT`, and closes it; resolves to whether it was established in time.
 *
 * A kept connection would say nothing: it may live on after the path for new ones is lost.
 */
export function probePath(
  address: string,
  { connect, timeoutMs }: { connect: Connect; timeoutMs: number },
): Promise<boolean> {
  const [hostname, port] = address.split(":") as [string, string];
  return new Promise((resolve) => {
    const options = { hostname, port, protocol: "http:" };
    const socket = connect(options, (...[error]) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(error === null);
    });
    const timer = setTimeout(() => {
      socket.destroy();
      resolve(false);
    }, timeoutMs);
  });
}
