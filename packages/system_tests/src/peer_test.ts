import { WebSocket, WebSocketServer } from "ws";
import { Packr } from "msgpackr";
import {
  connectPeer,
  createHello,
  createProof,
  type DropCause,
  type Hello,
} from "@primroseshed/daemon";
import type { PeerMessage } from "@primroseshed/core";
import { expect } from "chai";
import fc from "fast-check";

const KEY = "right-key";
const packr = new Packr({ useRecords: false });
const self = { name: "entry-1", zone: "z", incarnation: "i" };
const other = { name: "entry-2", zone: "z", incarnation: "i" };

interface ReceivedEvents {
  opened: Hello[];
  messages: PeerMessage[];
  drops: DropCause[];
  closed: boolean;
}

/** Starts a listener under test and connects a raw socket that can send any bytes to it. */
async function connectRaw(): Promise<
  { raw: WebSocket; received: ReceivedEvents; frames: unknown[]; end(): void }
> {
  const received: ReceivedEvents = {
    opened: [],
    messages: [],
    drops: [],
    closed: false,
  };
  const server = new WebSocketServer({ port: 0, host: "127.0.0.1" });
  await new Promise((resolve) => server.once("listening", resolve));
  server.on("connection", (socket) => {
    connectPeer({
      socket,
      side: "listener",
      self,
      key: KEY,
      events: {
        onOpen: (hello) => received.opened.push(hello),
        onMessage: (message) => received.messages.push(message),
        onDrop: (cause) => received.drops.push(cause),
        onClose: () => received.closed = true,
      },
    });
  });
  const frames: unknown[] = [];
  const raw = new WebSocket(
    `ws://127.0.0.1:${(server.address() as { port: number }).port}`,
  );
  raw.on("error", () => undefined);
  raw.on("message", (data) => frames.push(packr.unpack(data as Buffer)));
  await new Promise((resolve) => raw.once("open", resolve));
  return {
    raw,
    received,
    frames,
    end: () => (raw.terminate(), server.close()),
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
}

async function performHandshake(key: string) {
  const connection = await connectRaw();
  const hello = createHello(other);
  connection.raw.send(packr.pack(hello));
  await waitUntil(() => connection.frames.length >= 1);
  const challenge = connection.frames[0] as Hello;
  connection.raw.send(
    packr.pack(
      createProof({ key, side: "dialer", own: hello, other: challenge }),
    ),
  );
  return { ...connection, hello, challenge };
}

const DIGEST = {
  sequence: 1,
  fold: 1,
  config: 1,
  draining: false,
  needs: {},
  demands: {},
  hears: {},
  leaving: {},
};

describe("peer protocol on real sockets", () => {
  it("opens after both sides prove the key, then delivers messages", async () => {
    const { raw, received, frames, end } = await performHandshake(KEY);
    await waitUntil(() => received.opened.length === 1 && frames.length === 2);
    raw.send(packr.pack({ kind: "digest", digest: DIGEST }));
    await waitUntil(() => received.messages.length === 1);
    expect(received.opened[0]?.node).to.equal("entry-2");
    expect(received.messages[0]).to.deep.equal({
      kind: "digest",
      digest: DIGEST,
    });
    end();
  });

  it("drops a peer with a wrong key", async () => {
    const { received, end } = await performHandshake("wrong-key");
    await waitUntil(() => received.closed);
    expect(received).to.deep.include({ opened: [], drops: ["forged"] });
    end();
  });

  it("drops a proof that is reflected to its sender", async () => {
    const { raw, received, frames, end } = await connectRaw();
    const hello = createHello(other);
    raw.send(packr.pack(hello));
    await waitUntil(() => frames.length >= 2);
    raw.send(packr.pack(frames[1] as object));
    await waitUntil(() => received.closed);
    expect(received).to.deep.include({ opened: [], drops: ["forged"] });
    end();
  });

  const INVALID_FIRST_FRAMES: {
    name: string;
    frame: Buffer;
    cause: DropCause;
  }[] = [
    {
      name: "an old version",
      frame: packr.pack({ ...createHello(other), version: 0 }),
      cause: "old_version",
    },
    {
      name: "an oversize hello",
      frame: packr.pack({ ...createHello(other), node: "n".repeat(4_000) }),
      cause: "oversize",
    },
    {
      name: "a hello with an extra field",
      frame: packr.pack({ ...createHello(other), extra: 1 }),
      cause: "malformed",
    },
    {
      name: "a message before the handshake",
      frame: packr.pack({ kind: "fold_request" }),
      cause: "malformed",
    },
    {
      name: "bytes that are not a frame",
      frame: Buffer.from([0xc1, 0xff, 0x00]),
      cause: "malformed",
    },
  ];
  for (const { name, frame, cause } of INVALID_FIRST_FRAMES) {
    it(`drops ${name} and closes the connection`, async () => {
      const { raw, received, end } = await connectRaw();
      raw.send(frame);
      await waitUntil(() => received.closed);
      expect(received).to.deep.include({
        opened: [],
        messages: [],
        drops: [cause],
      });
      end();
    });
  }

  it("drops malformed messages, keeps the connection open and still handles a valid message", async () => {
    const { raw, received, end } = await performHandshake(KEY);
    await waitUntil(() => received.opened.length === 1);
    const samples = fc.sample(fc.anything({ maxDepth: 2 }), {
      seed: 31,
      numRuns: 60,
    });
    const frames = samples.flatMap((value) => {
      try {
        return [packr.pack({ kind: "digest", digest: value as object })];
      } catch {
        return [];
      }
    });
    for (const frame of frames) raw.send(frame);
    raw.send(packr.pack({ kind: "config_request", above: 3 }));
    await waitUntil(() => received.messages.length === 1);
    expect(received.messages).to.deep.equal([{
      kind: "config_request",
      above: 3,
    }]);
    expect(received.drops.length).to.equal(frames.length);
    expect(received.closed).to.equal(false);
    end();
  });

  it("drops the messages that a peer sends beyond its rate limit", async () => {
    const { raw, received, end } = await performHandshake(KEY);
    await waitUntil(() => received.opened.length === 1);
    for (let count = 0; count < 1_000; count++) {
      raw.send(packr.pack({ kind: "config_request", above: count }));
    }
    await waitUntil(() =>
      received.messages.length + received.drops.length === 1_000
    );
    expect(received.drops.every((cause) => cause === "too_many")).to.equal(
      true,
    );
    expect(received.drops.length).to.be.greaterThan(500);
    end();
  });
});
