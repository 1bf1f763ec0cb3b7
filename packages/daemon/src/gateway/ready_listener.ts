/**
 * Opens listeners, and answers whether the gateway is ready.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import { isGatewayReady, type State } from "@primroseshed/core";

/** Length of the operating system's queue of new connections; a burst of callers must not lose its first packets. */
const BACKLOG = 1_024;

/** Starts to listen on an `IP:PORT`. */
export function listen(server: Server, address: string): Promise<void> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port: Number(port), backlog: BACKLOG }, resolve);
  });
}

/** Creates the listener that answers 200 on `path` while the gateway is ready. */
export function createReadyListener(
  { state, path, now }: { state: State; path: string; now(): number },
): Server {
  return createServer((request, response) => {
    const isReady = request.url === path && isGatewayReady(state, now());
    response.statusCode = isReady ? 200 : 503;
    response.end();
  });
}
