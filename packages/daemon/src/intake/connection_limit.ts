/**
 * Limits the connections of a listener: idle ones close for new ones, and heads have to arrive in time.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  beginRequest,
  closeConnection,
  createConnectionTable,
  endRequest,
  type LogEventName,
  openConnection,
} from "@primroseshed/core";

/** Options of {@link limitConnections}. */
export interface ConnectionLimitOptions {
  maxCount: number;
  /** Returns the time for the head of a request, ms. */
  headTimeoutMs(): number;
  now(): number;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Limit on the connections of one listener. */
export interface ConnectionLimit {
  /** Returns the number of open connections. */
  count(): number;
  /** Returns the number of connections that were closed by the limit since the start. */
  closedCount(): number;
  stop(): void;
}

interface HeadProgress {
  /** Bytes that had been read when the connection last became idle. */
  idleBytes: number;
  /** Time at which the first bytes of the next head were seen, ms. */
  beganAt: number | undefined;
}

const CHECK_INTERVAL_MS = 1_000;
/** A check that comes later than this after the one before says nothing of callers: this daemon was late, ms. */
const MAX_CHECK_GAP_MS = 2_000;

/**
 * Applies a limit to a server.
 *
 * @example
 * ```ts
 * const limit = limitConnections(server, { maxCount: 1_536, headTimeoutMs, now, log });
 * server.once("close", limit.stop);
 * ```
 */
export function limitConnections(
  server: Server,
  { maxCount, headTimeoutMs, now, log }: ConnectionLimitOptions,
): ConnectionLimit {
  const table = createConnectionTable<Socket>({ maxCount });
  const heads = new WeakMap<Socket, HeadProgress>();
  let closedCount = 0;
  let loggedCount = 0;
  let checkedAt = now();

  function becomeIdle(socket: Socket): void {
    heads.set(socket, { idleBytes: socket.bytesRead, beganAt: undefined });
  }

  function accept(socket: Socket): void {
    socket.once("close", () => closeConnection(table, socket));
    becomeIdle(socket);
    const closed = openConnection(table, socket, { now: now() });
    if (closed === undefined) return;
    closedCount += 1;
    closed.destroy();
  }

  function track(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    beginRequest(table, socket);
    response.once("close", () => {
      endRequest(table, socket, { now: now() });
      becomeIdle(socket);
    });
  }

  /** Returns whether a head on an idle connection has taken all of its time. */
  function isHeadLate(socket: Socket): boolean {
    const head = heads.get(socket);
    if (head === undefined || socket.bytesRead === head.idleBytes) return false;
    head.beganAt ??= now();
    return now() - head.beganAt > headTimeoutMs();
  }

  function check(): void {
    const wasLate = now() - checkedAt > MAX_CHECK_GAP_MS;
    checkedAt = now();
    for (const socket of wasLate ? [] : [...table.idle.keys()]) {
      if (isHeadLate(socket)) socket.destroy();
    }
    if (closedCount === loggedCount) return;
    const closed = closedCount - loggedCount;
    loggedCount = closedCount;
    log("connections_short", {
      closed,
      busy: table.busy.size,
      idle: table.idle.size,
    });
  }

  const timer = setInterval(() => setImmediate(check), CHECK_INTERVAL_MS);
  timer.unref();
  server.on("connection", accept);
  server.prependListener("request", track);
  return {
    count: () => table.busy.size + table.idle.size,
    closedCount: () => closedCount,
    stop: () => clearInterval(timer),
  };
}
