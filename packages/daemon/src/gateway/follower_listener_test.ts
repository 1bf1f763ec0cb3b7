import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { EventBody } from "@primroseshed/core";
import { expect } from "chai";
import { WebSocket } from "ws";
import { startFollowerListener } from "./follower_listener.ts";
import { encodeFrame } from "./sharing_frames.ts";

const HOLDINGS = {
  zone: "suva-a",
  ids: [7],
  ageMs: 0,
  rows: [{ route: "chat", team: "t", requests: 1, tokens: 900, waiting: 0 }],
};

async function freePort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}

describe("listener for followers", () => {
  // Guards against counts that are kept for another follower than the one that polls and leaves.
  it("names the same follower for its poll, its counts and its end", async () => {
    const address = `127.0.0.1:${await freePort()}`;
    const events: EventBody[] = [];
    let wake = () => {};
    const listener = await startFollowerListener({
      address,
      maxConnections: 4,
      onRequest: (_, response) => response.end(),
      dispatch(event) {
        events.push(event);
        wake();
      },
      log: () => {},
      onSent: () => {},
    });
    const heard = async (count: number) => {
      while (events.length < count) {
        await new Promise<void>((resolve) => wake = resolve);
      }
    };
    const socket = new WebSocket(`ws://${address}`);
    await once(socket, "open");
    const runnersPosition = { timeline: 0, offset: 0 };
    socket.send(
      encodeFrame({ kind: "poll", version: 3, poll: 1, runnersPosition }),
    );
    socket.send(
      encodeFrame({ kind: "limits", limits: [], holdings: HOLDINGS }),
    );
    await heard(2);
    socket.close();
    await heard(3);
    listener.close();
    const [polled, reported, left] = events as [
      Extract<EventBody, { kind: "follower_polled" }>,
      Extract<EventBody, { kind: "limits_reported" }>,
      Extract<EventBody, { kind: "follower_left" }>,
    ];
    expect(polled.kind).to.equal("follower_polled");
    expect(reported).to.include({
      kind: "limits_reported",
      follower: polled.follower,
    });
    expect(reported.holdings).to.deep.equal(HOLDINGS);
    expect(left).to.deep.equal({
      kind: "follower_left",
      follower: polled.follower,
    });
  });
});
