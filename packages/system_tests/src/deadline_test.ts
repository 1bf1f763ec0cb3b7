import { connect } from "node:net";
import { type System, waitUntil } from "@primroseshed/stand_ins";
import { expect } from "chai";
import { book, type ErrorBody } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

describe("deadlines and timeouts", () => {
  let system: System;
  before(async () => {
    system = await startTestSystem({
      daemons: 1,
      lendingSettings: { concurrency: 1 },
      overrides: { limits: { headerTimeoutMs: 200, bodyTimeoutMs: 300 } },
    });
  });
  after(() => system.kill());

  it("returns not_run for a booking as soon as its deadline passes in the queue, and never runs it", async () => {
    const { faults } = system.lendingServers[0]!;
    faults.responseDelayMs = 800;
    const first = book(system.daemons[0]!, "first");
    await waitUntil(() => system.bookings.length === 1);
    const second = await book(system.daemons[0]!, "second", {
      "primrose-deadline-ms": "200",
    });
    const { error } = await second.json() as ErrorBody;
    expect(second.status).to.equal(504);
    expect(error).to.include({ code: "deadline_passed", verdict: "not_run" });
    expect((await first).status).to.equal(201);
    faults.responseDelayMs = 0;
    expect((await book(system.daemons[0]!, "third")).status).to.equal(201);
    expect(system.bookings.map(({ item }) => item)).to.deep.equal([
      "first",
      "third",
    ]);
  });

  it("returns may_have_run for a booking whose deadline passes while it runs", async () => {
    const { faults } = system.lendingServers[0]!;
    faults.responseDelayMs = 5_000;
    const response = await book(system.daemons[0]!, "slow", {
      "primrose-deadline-ms": "200",
    });
    const { error } = await response.json() as ErrorBody;
    faults.responseDelayMs = 0;
    expect(error).to.include({
      code: "deadline_passed",
      verdict: "may_have_run",
    });
  });

  const INCOMPLETE_REQUESTS: { name: string; text: string }[] = [
    {
      name: "header section",
      text: "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-slow:",
    },
    {
      name: "body",
      text:
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{",
    },
  ];
  for (const { name, text } of INCOMPLETE_REQUESTS) {
    it(`closes a connection whose ${name} stays incomplete`, async () => {
      const socket = connect(
        Number(new URL(system.daemons[0]!.addresses.callers).port),
        "127.0.0.1",
      );
      socket.on("error", () => undefined);
      socket.resume();
      socket.write(text);
      await new Promise((resolve) => socket.once("close", resolve));
      expect(system.daemons[0]!.state.requests.size).to.equal(0);
    });
  }
});
