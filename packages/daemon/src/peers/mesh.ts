/**
 * Connections to all peers: of each two daemons, the one with the lower name dials.
 *
 * @module
 */
import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { EventBody, LogEventName, PeerMessage } from "@primroseshed/core";
import { WebSocket, WebSocketServer } from "ws";
import {
  type Connection,
  createConnection,
  MAX_FRAME_BYTES,
} from "./connection.ts";
import type { Hello, Side } from "./handshake.ts";

/** Contents of the TLS files, PEM. */
export interface PeerTls {
  cert: string;
  key: string;
  ca: string;
}

/** Address of a peer, `IP:PORT`. */
export interface PeerAddress {
  name: string;
  address: string;
}

/** Options of {@link createMesh}. */
export interface MeshOptions {
  self: { name: string; zone: string; incarnation: string };
  listen: { host: string; port: number };
  key: string;
  tls?: PeerTls;
  /** Handles requests that other daemons send for their callers, on the same port. */
  onRequest(request: IncomingMessage, response: ServerResponse): void;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields: Record<string, unknown>): void;
}

/** Connections to peers. */
export interface Mesh {
  /** Starts to listen; resolves to the port in use. */
  listen(): Promise<number>;
  /** Replaces the list of peers to stay connected to. */
  setPeers(peers: readonly PeerAddress[]): void;
  send(peer: string, message: PeerMessage): void;
  /** Uses a new key for connections from now on. */
  setKey(key: string): void;
  stop(): void;
}

const REDIAL_MIN_MS = 200;
const REDIAL_MAX_MS = 3_000;

interface Dialing {
  address: string;
  pauseMs: number;
  timer?: NodeJS.Timeout;
  socket?: WebSocket;
}

/** Creates the mesh of one daemon. */
export function createMesh(
  { self, listen, key: initialKey, tls, onRequest, dispatch, log }: MeshOptions,
): Mesh {
  let key = initialKey;
  let stopped = false;
  const connections = new Map<
    string,
    { connection: Connection; hello: Hello }
  >();
  const dialing = new Map<string, Dialing>();
  const server: Server = tls
    ? createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true })
    : createHttpServer();
  server.on("request", onRequest);
  const acceptor = new WebSocketServer({
    server,
    maxPayload: MAX_FRAME_BYTES,
    perMessageDeflate: false,
  });
  acceptor.on(
    "connection",
    (socket, request) =>
      attach(socket, "listener", request.socket.remoteAddress ?? ""),
  );
  acceptor.on("error", () => undefined);

  function attach(
    socket: WebSocket,
    side: Side,
    address: string,
    onEnd?: () => void,
  ): void {
    let peerHello: Hello | undefined;
    const connection: Connection = createConnection({
      socket,
      side,
      self,
      key,
      events: {
        onOpen(hello) {
          peerHello = hello;
          connections.set(hello.node, { connection, hello });
          const { node, zone, incarnation } = hello;
          dispatch({
            kind: "peer_joined",
            peer: node,
            address,
            zone,
            incarnation,
          });
        },
        onMessage(message) {
          if (peerHello !== undefined) {
            dispatch({ kind: "peer_received", peer: peerHello.node, message });
          }
        },
        onDrop: (cause) =>
          log(peerHello ? "peer_frame_dropped" : "peer_refused", {
            cause,
            address,
            peer: peerHello?.node,
          }),
        onClose() {
          onEnd?.();
          if (
            peerHello === undefined ||
            connections.get(peerHello.node)?.connection !== connection
          ) return;
          connections.delete(peerHello.node);
          dispatch({
            kind: "peer_lost",
            peer: peerHello.node,
            incarnation: peerHello.incarnation,
          });
        },
      },
    });
  }

  function dial(name: string): void {
    const entry = dialing.get(name);
    if (stopped || entry === undefined) return;
    const socket = new WebSocket(
      `${tls ? "wss" : "ws"}://${entry.address}`,
      [],
      {
        maxPayload: MAX_FRAME_BYTES,
        perMessageDeflate: false,
        ...tls,
      },
    );
    entry.socket = socket;
    socket.once("open", () => entry.pauseMs = REDIAL_MIN_MS);
    attach(socket, "dialer", entry.address, () => redial(name, entry));
  }

  function redial(name: string, entry: Dialing): void {
    if (stopped || dialing.get(name) !== entry) return;
    const pauseMs = entry.pauseMs * (0.5 + Math.random());
    entry.pauseMs = Math.min(REDIAL_MAX_MS, entry.pauseMs * 2);
    entry.timer = setTimeout(() => dial(name), pauseMs);
  }

  function stopDialing(name: string): void {
    const entry = dialing.get(name);
    dialing.delete(name);
    clearTimeout(entry?.timer);
    entry?.socket?.terminate();
  }

  return {
    listen: () =>
      new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(listen.port, listen.host, () =>
          resolve((server.address() as { port: number }).port));
      }),
    setPeers(peers) {
      const wanted = new Map(
        peers.filter(({ name }) => name > self.name).map((
          peer,
        ) => [peer.name, peer.address]),
      );
      for (const [name, { address }] of dialing) {
        if (wanted.get(name) !== address) stopDialing(name);
      }
      for (const [name, address] of wanted) {
        if (dialing.has(name)) continue;
        dialing.set(name, { address, pauseMs: REDIAL_MIN_MS });
        dial(name);
      }
    },
    send(peer, message) {
      connections.get(peer)?.connection.send(message);
    },
    setKey(next) {
      key = next;
    },
    stop() {
      stopped = true;
      for (const name of [...dialing.keys()]) stopDialing(name);
      for (const { connection } of connections.values()) connection.close();
      acceptor.close();
      server.close();
      server.closeAllConnections();
    },
  };
}
