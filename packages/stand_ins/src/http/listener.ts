/**
 * HTTP server of the stand-ins, with simulated faults: it can be down, slow or paused, or lose responses.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import polka, { type Polka } from "polka";
import { writeEndlessly } from "../network/endless.ts";

/** Faults that a stand-in simulates. */
export interface Faults {
  /** Connections are reset. */
  down: boolean;
  /** Requests wait until this is false again. */
  paused: boolean;
  /** Delay before a request is handled, ms. */
  slowMs: number;
  /** Requests take effect, but their responses are lost. */
  loseResponses: boolean;
  /** Requests of paths that begin so are answered with this head, and then bytes without end. */
  endless?: { path: string; head: string } | undefined;
  /** Requests of paths that begin so are answered by this function, which writes to their connection. */
  raw?: { path: string; answer(socket: Socket): void } | undefined;
  /** Headers that all responses have. */
  headers?: Record<string, string>;
}

/** A running stand-in server. */
export interface Listener {
  address: string;
  faults: Faults;
  /** Closes the port, so that connections are refused. */
  close(): Promise<void>;
}

const PAUSE_POLL_MS = 20;

/** Returns faults that are all switched off. */
export function createFaults(): Faults {
  return { down: false, paused: false, slowMs: 0, loseResponses: false };
}

async function applyFaults(
  faults: Faults,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<boolean> {
  if (faults.down) {
    request.socket.destroy();
    return false;
  }
  if (faults.slowMs > 0) await sleep(faults.slowMs);
  while (faults.paused && !request.socket.destroyed) await sleep(PAUSE_POLL_MS);
  if (faults.loseResponses) {
    response.end = response.write = resetOnWrite(request);
  }
  return !request.socket.destroyed;
}

function resetOnWrite(
  request: IncomingMessage,
): ServerResponse["end"] & ServerResponse["write"] {
  return (() => {
    request.socket.destroy();
    return false;
  }) as unknown as ServerResponse["end"] & ServerResponse["write"];
}

/** Starts a server for `app` on an IP address; port 0 selects a free port. */
export async function startListener(
  app: Polka,
  { host = "127.0.0.1", port = 0, faults = createFaults() }: {
    host?: string;
    port?: number;
    faults?: Faults;
  } = {},
): Promise<Listener> {
  const server: Server = createServer((request, response) => {
    const { endless, raw } = faults;
    if (raw !== undefined && request.url?.startsWith(raw.path)) {
      return raw.answer(request.socket);
    }
    if (endless !== undefined && request.url?.startsWith(endless.path)) {
      return writeEndlessly(request.socket, endless.head);
    }
    for (const [name, value] of Object.entries(faults.headers ?? {})) {
      response.setHeader(name, value);
    }
    if (
      !faults.down && !faults.paused && faults.slowMs === 0 &&
      !faults.loseResponses
    ) {
      return app.handler(request as never, response);
    }
    void applyFaults(faults, request, response).then((shouldHandle) => {
      if (shouldHandle) app.handler(request as never, response);
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const address = `http://${host}:${
    (server.address() as { port: number }).port
  }`;
  return {
    address,
    faults,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Creates an application without routes. */
export function createApp(): Polka {
  return polka();
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  { body }: { body: unknown },
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Reads a whole JSON body. */
export async function readJson<T>(request: IncomingMessage): Promise<T> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString("utf8") || "null") as T;
}
