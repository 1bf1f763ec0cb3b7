/**
 * Listens for the daemons that follow this one, and sends them what it reads from the store.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type {
  EventBody,
  FollowerMessage,
  LogEventName,
  UpstreamMessage,
} from "@primroseshed/core";
import { type RawData, type WebSocket, WebSocketServer } from "ws";
import { monotonicNow } from "../driver/driver.ts";
import { decodeFollowerFrame, encodeFrame } from "./sharing_frames.ts";

/** Options of {@link startFollowerListener}. */
export interface FollowerListenerOptions {
  /** `IP:PORT`. */
  address: string;
  maxConnections: number;
  /** Handles requests that other daemons want forwarded, on the same port. */
  onRequest(request: IncomingMessage, response: ServerResponse): void;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
  /** Called with the bytes that were handed to the connections of followers, by kind of message. */
  onSent(kind: UpstreamMessage["kind"], bytes: number): void;
}

/** Listener for followers. */
export interface FollowerListener {
  send(followers: readonly string[], message: UpstreamMessage): void;
  /** Returns the bytes that wait to be sent to followers. */
  unreadBytes(): number;
  close(): void;
}

interface FollowerConnection {
  socket: WebSocket;
  lastPollAt: number;
}

/** Largest frame of a follower, bytes. */
const MAX_POLL_BYTES = 64 * 1024;
/** A follower that has left more than this unread is disconnected, bytes. */
const MAX_UNREAD_BYTES = 8 * 1024 * 1024;
/** A follower that does not poll for this long is disconnected, ms. */
const FOLLOWER_TIMEOUT_MS = 3_000;
const CHECK_INTERVAL_MS = 1_000;
/** Bytes that wait for all followers together from which on the log has a line: a tenth of a second of a 20 Mbit/s link. */
const LOGGED_UNREAD_BYTES = 256 * 1024;
const BACKLOG = 1_024;
/** Limit of the HTTP parser for forwarded requests, bytes: that of the callers' listener and the forward order. */
const MAX_HEADER_BYTES = 80 * 1024;

function eventOf(follower: string, message: FollowerMessage): EventBody {
  if (message.kind === "suspects") {
    return { kind: "suspects_reported", runners: message.runners };
  }
  if (message.kind === "limits") {
    const { kind: _, ...reports } = message;
    return { kind: "limits_reported", ...reports, follower };
  }
  const { poll, runnersPosition } = message;
  return { kind: "follower_polled", follower, poll, runnersPosition };
}

/** Starts the listener. */
export async function startFollowerListener(
  { address, maxConnections, onRequest, dispatch, log, onSent }:
    FollowerListenerOptions,
): Promise<FollowerListener> {
  const [host, port] = address.split(":");
  const connections = new Map<string, FollowerConnection>();
  let count = 0;
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, onRequest);
  // The gate bounds the time for a body.
  server.requestTimeout = 0;
  // Otherwise Node would leave out lines beyond the first thousand without a word.
  server.maxHeadersCount = 0;
  server.maxConnections = maxConnections;
  const followers = new WebSocketServer({
    server,
    maxPayload: MAX_POLL_BYTES,
    perMessageDeflate: false,
  });

  function accept(socket: WebSocket, remote: string | undefined): void {
    count += 1;
    const id = `${remote ?? "unknown"}#${count}`;
    const connection = { socket, lastPollAt: monotonicNow() };
    connections.set(id, connection);
    socket.on("message", (data: RawData) => {
      connection.lastPollAt = monotonicNow();
      handleFrame(id, socket, data);
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => {
      connections.delete(id);
      dispatch({ kind: "follower_left", follower: id });
    });
  }

  function handleFrame(id: string, socket: WebSocket, data: RawData): void {
    try {
      dispatch(eventOf(id, decodeFollowerFrame(data)));
    } catch (error) {
      log("peer_frame_dropped", { follower: id, cause: String(error) });
      socket.terminate();
    }
  }

  function checkFollowers(): void {
    const now = monotonicNow();
    for (const { socket, lastPollAt } of connections.values()) {
      if (now - lastPollAt > FOLLOWER_TIMEOUT_MS) socket.terminate();
    }
    const unread = unreadBytes();
    if (unread < LOGGED_UNREAD_BYTES) return;
    log("followers_behind", {
      unreadBytes: unread,
      followers: connections.size,
    });
  }

  // A poll may have arrived that a late event loop has not read yet.
  const timer = setInterval(
    () => setImmediate(checkFollowers),
    CHECK_INTERVAL_MS,
  );

  function unreadBytes(): number {
    let sum = 0;
    for (const { socket } of connections.values()) sum += socket.bufferedAmount;
    return sum;
  }

  followers.on(
    "connection",
    (socket, request) => accept(socket, request.socket.remoteAddress),
  );
  // The client library reports errors of the server a second time.
  followers.on("error", () => undefined);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port: Number(port), backlog: BACKLOG }, resolve);
  });
  server.on("error", (error) => log("internal_error", { cause: error.stack }));

  return {
    send(followers, message) {
      const frame = encodeFrame(message);
      for (const id of followers) {
        const socket = connections.get(id)?.socket;
        if (socket === undefined) continue;
        if (socket.bufferedAmount > MAX_UNREAD_BYTES) {
          socket.terminate();
          continue;
        }
        socket.send(frame);
        onSent(message.kind, frame.length);
      }
    },
    unreadBytes,
    close() {
      clearInterval(timer);
      for (const { socket } of connections.values()) socket.terminate();
      followers.close();
      server.close();
      server.closeAllConnections();
    },
  };
}
