/**
 * One connection between two daemons: handshake, validation and rate limit of frames, and keep-alive pings.
 *
 * @module
 */
import type { PeerMessage } from "@primroseshed/core";
import { Packr } from "msgpackr";
import type { RawData, WebSocket } from "ws";
import {
  createHello,
  createProof,
  type Hello,
  helloSchema,
  isProven,
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
const PING_MS = 1_000;
/** A connection that receives nothing for this long is closed, ms. */
const SILENCE_MS = 4_000;

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
  const own = createHello(self);
  let other: Hello | undefined;
  let isOpen = false;
  let allowance = FRAME_BURST;
  let lastHeardAt = Date.now();
  const deadline = setTimeout(
    () => isOpen || socket.terminate(),
    HANDSHAKE_TIMEOUT_MS,
  );
  const upkeep = setInterval(() => {
    allowance = Math.min(
      FRAME_BURST,
      allowance + MAX_FRAMES_PER_SECOND * PING_MS / 1_000,
    );
    if (Date.now() - lastHeardAt > SILENCE_MS) socket.terminate();
    else if (socket.readyState === socket.OPEN) socket.ping();
  }, PING_MS);

  function write(value: object): void {
    const frame = packr.pack(value);
    socket.send(frame);
  }

  function drop(cause: DropCause): void {
    events.onDrop(cause);
    if (!isOpen || cause === "forged") socket.terminate();
  }

  function takeHello(frame: unknown): void {
    const hello = helloSchema.safeParse(frame);
    if (!hello.success) {
      const version = (frame as { version?: unknown } | null)?.version;
      return drop(
        typeof version === "number" && version !== own.version
          ? "old_version"
          : "malformed",
      );
    }
    other = hello.data;
    write(createProof({ key, side, own, other }));
  }

  function takeProof(frame: unknown, hello: Hello): void {
    const proof = proofSchema.safeParse(frame);
    const otherSide = side === "dialer" ? "listener" : "dialer";
    const input = { key, side: otherSide, own: hello, other: own } as const;
    if (!proof.success || !isProven(proof.data, input)) return drop("forged");
    isOpen = true;
    clearTimeout(deadline);
    events.onOpen(hello);
  }

  function takeMessage(frame: unknown): void {
    const message = messageSchema.safeParse(frame);
    if (message.success) events.onMessage(message.data as PeerMessage);
    else drop("malformed");
  }

  function take(data: RawData): void {
    lastHeardAt = Date.now();
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
    if (isOpen) takeMessage(frame);
    else if (other === undefined) takeHello(frame);
    else takeProof(frame, other);
  }

  function start(): void {
    write(own);
  }

  if (socket.readyState === socket.OPEN) start();
  else socket.once("open", start);
  socket.on("message", take);
  socket.on("pong", () => lastHeardAt = Date.now());
  socket.on("ping", () => lastHeardAt = Date.now());
  socket.on("error", () => socket.terminate());
  socket.once("close", () => {
    clearTimeout(deadline);
    clearInterval(upkeep);
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
