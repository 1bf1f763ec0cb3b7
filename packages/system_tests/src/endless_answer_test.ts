import type { Listener, System } from "@primroseshed/stand_ins";
import { expect } from "chai";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { book, chat, createHeaders, type ErrorBody } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

/** Growth of memory that a daemon's limits allow, with what the collector has not freed yet, bytes. */
const MAX_GROWTH_BYTES = 128 * 1024 * 1024;
const WATCHED_MS = 1_500;

const HEAD = "HTTP/1.1 200 OK\r\n";
const BODY = `${HEAD}content-type: application/json\r\n\r\n`;
const EVENT = `${HEAD}content-type: text/event-stream\r\n\r\ndata: `;

/** Answers of backend servers that have no end, by what they answer. */
const CASES = {
  "a status report's body": { path: "/status", head: BODY },
  "a status report's head": { path: "/status", head: `${HEAD}x: ` },
  "a list of cache events": { path: "/cache_events", head: BODY },
  "an event of a chat": { path: "/v1/chat", head: EVENT },
  "the head of a chat": { path: "/v1/chat", head: `${HEAD}x: ` },
  "a chunk's extension": {
    path: "/v1/chat",
    head: `${HEAD}transfer-encoding: chunked\r\n\r\n1;`,
  },
  "the trailers of a chat": {
    path: "/v1/chat",
    head: `${HEAD}transfer-encoding: chunked\r\n\r\n0\r\nx: `,
  },
} as const;

describe("bytes without end from a backend server", () => {
  let system: System;
  let before: number;
  afterEach(() => system.kill());

  async function start(
    options: Parameters<typeof startTestSystem>[0] = {},
  ): Promise<void> {
    system = await startTestSystem({ daemons: 1, ...options });
    expect((await chat(system.daemons[0]!, "first")).status).to.equal(200);
    before = process.memoryUsage().rss;
  }

  function growth(): number {
    return process.memoryUsage().rss - before;
  }

  for (const [name, endless] of Object.entries(CASES)) {
    // Guards against a faulty server whose answer takes the daemon's memory, and with it the requests of other clients.
    it(`take no memory, and other callers are served (${name})`, async () => {
      await start();
      const faulty: Listener[] = system.engines;
      for (const { faults } of faulty) faults.endless = endless;
      let highest = 0;
      const requests = Array.from(
        { length: 8 },
        () => chat(system.daemons[0]!, "question").catch(() => undefined),
      );
      for (let waited = 0; waited < WATCHED_MS; waited += 50) {
        await sleep(50);
        highest = Math.max(highest, growth());
      }
      expect((await book(system.daemons[0]!, "other")).status).to.equal(201);
      for (const { faults } of faulty) faults.endless = undefined;
      await Promise.all(requests);
      expect(highest).to.be.below(MAX_GROWTH_BYTES);
    });
  }

  it("end a chat whose engine sends more tokens than were asked for", async () => {
    await start({ responseTokens: 40, stepMs: 0 });
    const response = await chat(system.daemons[0]!, "short", { max_tokens: 8 });
    const { error } = await response.json() as ErrorBody;
    expect(error).to.include({ verdict: "may_have_run" });
  });

  it("end a call whose refusal has no end", async () => {
    await start();
    const head = BODY.replace("200 OK", "503 Full");
    for (const { faults } of system.lendingServers) {
      faults.endless = { path: "/bookings", head };
    }
    const startedAt = performance.now();
    const response = await book(system.daemons[0]!, "refused");
    const { error } = await response.json() as ErrorBody;
    expect(error).to.include({ verdict: "not_run" });
    expect(performance.now() - startedAt).to.be.below(1_000);
    expect(growth()).to.be.below(MAX_GROWTH_BYTES);
  });

  it("wait at their server where the caller does not read", async () => {
    await start();
    for (const { faults } of system.lendingServers) {
      faults.endless = { path: "/bookings", head: BODY };
    }
    const { hostname, port } = new URL(system.daemons[0]!.addresses.callers);
    const socket = connect(Number(port), hostname);
    const headers = Object.entries(createHeaders({ connection: "close" }))
      .map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.pause();
    socket.write(
      `GET /services/lending/bookings HTTP/1.1\r\nhost: a\r\n${headers}\r\n`,
    );
    await sleep(WATCHED_MS);
    socket.destroy();
    expect(growth()).to.be.below(MAX_GROWTH_BYTES);
  });
});
