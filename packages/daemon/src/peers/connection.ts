/**
 * One connection between two daemons: handshake, validation and rate limit of frames, and keep-alive pings.
 *
 * @module
 */
import type { PeerMessage } from "@primroseshed/core";
import { Packr } from "msgpackr";
import type { RawData, WebSocket } from "ws";
import { monotonicNow } from "../driver/driver.ts";
import { startPatientTimer } from "../driver/patient_timer.ts";
import {
  createHello,
  createProof,
  type Hello,
  helloSchema,
  isVerified,
  proofSchema,
  type Side,
} from "./handshake.ts";
import { messageSchema } from "./message_schema.ts";

/** Largest frame between daemons, bytes; large enough for a folded state. */
export const MAX_FRAME_BYTES = 32 * 1024 * 1024;
/** Largest frame before the other side is authenticated, bytes. */
const MAX_HANDSHAKE_BYTES = 1_024;
/** Average number of frames per second that a peer may send; {@link FRAME_BURST} may be sent at once. */
const MAX_FRAMES_PER_SECOND = 50;
const FRAME_BURST = 200;
/** Digests are dropped while more than this is waiting to be sent, bytes. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
const HANDSHAKE_TIMEOUT_MS = 3_000;
const PING_INTERVAL_MS = 1_000;
/** A connection that receives nothing for this long is closed, ms. */
const SILENCE_TIMEOUT_MS = 4_000;

const packr = new Packr({ useRecords: false });

/** Why a frame was dropped. */
export type DropCause =
  | "oversize"
  | "malformed"
  | "forged"
  | "too_many"
  | "old_version";

/** Callbacks of a connection. */
export interface ConnectionEvents {
  onOpen(hello: Hello): void;
  onMessage(message: PeerMessage): void;
  onClose(): void;
  onDrop(cause: DropCause): void;
}

/** Options of {@link createConnection}. */
export interface ConnectionOptions {
  socket: WebSocket;
  side: Side;
  self: { name: string; zone: string; incarnation: string };
  key: string;
  events: ConnectionEvents;
}

/** A connection to a peer. */
export interface Connection {
  /** Sends a message; returns false if it was dropped, as before the handshake or as a digest to a slow peer. */
  send(message: PeerMessage): boolean;
  close(): void;
}

function toBuffer(data: RawData): Buffer {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? Buffer.from(data) : data;
}

/** Runs the handshake on a socket, then receives and sends messages. */
export function createConnection(
  { socket, side, self, key, events }: ConnectionOptions,
): Connection {
  const ownHello = createHello(self);
  let peerHello: Hello | undefined;
  let isOpen = false;
  let allowance = FRAME_BURST;
  let lastSeenAt = monotonicNow();
  const handshakeTimer = startPatientTimer(
    HANDSHAKE_TIMEOUT_MS,
    () => isOpen || socket.terminate(),
  );

  function keepAlive(): void {
    allowance = Math.min(
      FRAME_BURST,
      allowance + MAX_FRAMES_PER_SECOND * PING_INTERVAL_MS / 1_000,
    );
    if (monotonicNow() - lastSeenAt > SILENCE_TIMEOUT_MS) socket.terminate();
    else if (socket.readyState === socket.OPEN) socket.ping();
  }

  // A frame may have arrived that a late event loop has not read yet.
  const keepAliveTimer = setInterval(
    () => setImmediate(keepAlive),
    PING_INTERVAL_MS,
  );

  function write(value: object): void {
    const frame = packr.pack(value);
    socket.send(frame);
  }

  function drop(cause: DropCause): void {
    events.onDrop(cause);
    if (!isOpen || cause === "forged") socket.terminate();
  }

  function handleHello(frame: unknown): void {
    const hello = helloSchema.safeParse(frame);
    if (!hello.success) {
      const version = (frame as { version?: unknown } | null)?.version;
      return drop(
        typeof version === "number" && version !== ownHello.version
          ? "old_version"
          : "malformed",
      );
    }
    peerHello = hello.data;
    write(createProof({ key, side, own: ownHello, other: peerHello }));
  }

  function handleProof(frame: unknown, hello: Hello): void {
    const proof = proofSchema.safeParse(frame);
    const otherSide = side === "dialer" ? "listener" : "dialer";
    const input = {
      key,
      side: otherSide,
      own: hello,
      other: ownHello,
    } as const;
    if (!proof.success || !isVerified(proof.data, input)) return drop("forged");
    isOpen = true;
    handshakeTimer.clear();
    events.onOpen(hello);
  }

  function handleMessage(frame: unknown): void {
    const message = messageSchema.safeParse(frame);
    if (message.success) events.onMessage(message.data as PeerMessage);
    else drop("malformed");
  }

  function handleFrame(data: RawData): void {
    lastSeenAt = monotonicNow();
    const bytes = toBuffer(data);
    if (!isOpen && bytes.length > MAX_HANDSHAKE_BYTES) return drop("oversize");
    allowance -= 1;
    if (allowance < 0) return drop("too_many");
    let frame: unknown;
    try {
      frame = packr.unpack(bytes);
    } catch {
      return drop("malformed");
    }
    if (isOpen) handleMessage(frame);
    else if (peerHello === undefined) handleHello(frame);
    else handleProof(frame, peerHello);
  }

  function start(): void {
    write(ownHello);
  }

  if (socket.readyState === socket.OPEN) start();
  else socket.once("open", start);
  socket.on("message", handleFrame);
  socket.on("pong", () => lastSeenAt = monotonicNow());
  socket.on("ping", () => lastSeenAt = monotonicNow());
  socket.on("error", () => socket.terminate());
  socket.once("close", () => {
    handshakeTimer.clear();
    clearInterval(keepAliveTimer);
    events.onClose();
  });

  return {
    send(message) {
      if (!isOpen || socket.readyState !== socket.OPEN) return false;
      if (
        message.kind === "digest" && socket.bufferedAmount > MAX_BUFFERED_BYTES
      ) return false;
      write(message);
      return true;
    },
    close: () => socket.close(),
  };
}
