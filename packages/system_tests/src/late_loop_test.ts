import {
  CALLER_KEYS,
  type Callers,
  startCallers,
  suspendThread,
  type System,
} from "@primroseshed/stand_ins";
import { expect } from "chai";
import { createChatBody } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

const LATE_MS = 1_500;
/** Time after which callers leave, ms: over half a second before the daemon goes on. */
const LEAVE_MS = 300;
const SETTLE_MS = 700;
const COUNT = 40;

function post(path: string, body: string, extra = ""): string {
  return `POST ${path} HTTP/1.1\r\nhost: entry\r\n` +
    `authorization: Bearer ${CALLER_KEYS.tavua}\r\n${extra}` +
    `content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

/** Requests of each kind by the index of their caller. */
const REQUESTS = {
  chat: (index: number) =>
    post("/v1/chat/completions", createChatBody(`question ${index}`)),
  booking: (index: number) =>
    post("/services/lending/bookings", `{"item":"late-${index}"}`),
};

describe("the product's own interface after a late turn of the event loop", () => {
  let system: System;
  let callers: Callers;
  beforeEach(async () => {
    callers = await startCallers();
    system = await startTestSystem({ daemons: 1 });
  });
  afterEach(async () => {
    await callers.stop();
    await system.kill();
  });

  function address(): string {
    return system.daemons[0]!.addresses.callers.replace("http://", "");
  }

  function countRuns(): number {
    const chats = system.engines.map(({ received }) => received.length);
    return chats.reduce((sum, count) => sum + count, system.bookings.length);
  }

  for (const [kind, request] of Object.entries(REQUESTS)) {
    // GONE of the grown deployments: requests were sent on after their callers had left.
    it(`sends on no ${kind} whose caller left before it was read`, async () => {
      const requests = Array.from(
        { length: COUNT },
        (_, index) => request(index),
      );
      callers.send(address(), requests);
      callers.leave({ afterMs: LEAVE_MS });
      suspendThread(LATE_MS);
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
      expect(countRuns()).to.equal(0);
    });
  }
});
