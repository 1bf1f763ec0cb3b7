import { responseText, type System, waitUntil } from "@primroseshed/stand_ins";
import { expect } from "chai";
import { book, chat, enginePrompt, parseStream } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

describe("three daemons", () => {
  let system: System;
  beforeEach(async () => {
    system = await startTestSystem({
      daemons: 3,
      stepMs: 5,
      overrides: { limits: { callerStallMs: 500 } },
    });
    await waitUntil(() =>
      system.daemons.every(({ state }) => state.peers.size === 2)
    );
  });
  afterEach(() => system.kill());

  it("lose only the requests of the killed daemon when one is killed and another drains", async () => {
    const [killed, drained, remaining] = system.daemons;
    const prompts = Array.from(
      { length: 6 },
      (_, index) => `question ${index}`,
    );
    const acceptedIds = new Map(
      system.daemons.map((daemon) => [daemon, new Set<string>()]),
    );
    const acceptedBy = (daemon: typeof killed) => {
      const ids = acceptedIds.get(daemon!)!;
      for (const request of daemon!.state.requests.keys()) ids.add(request);
      return ids;
    };
    const streamChat = async (daemon: typeof remaining, prompt: string) => {
      const response = await chat(daemon!, prompt, { stream: true });
      return { prompt, content: parseStream(await response.text()) };
    };
    const requestsToKilled = prompts.map((prompt) =>
      streamChat(killed, `killed ${prompt}`).catch(() => undefined)
    );
    const requestsToOthers = [drained, remaining].flatMap((daemon) =>
      prompts.map((prompt) => streamChat(daemon, prompt))
    );
    // A stopping daemon refuses requests that arrive after `balancerLagMs` with `not_run`; only those that it has
    // accepted by then are sure to complete, so the test waits for all of them before the first stop.
    await waitUntil(() =>
      system.daemons.every((daemon) => acceptedBy(daemon).size === 6)
    );
    killed!.stop();
    killed!.stop();
    drained!.stop();
    const results = await Promise.all(requestsToOthers);
    for (const { prompt, content } of results) {
      expect(content.text).to.equal(responseText(enginePrompt(prompt), 4_096));
      expect(content.done).to.equal(true);
    }
    expect(await drained!.stopped).to.equal(0);
    await Promise.all(requestsToKilled);
    await waitUntil(() => remaining!.state.peers.size === 0);
    expect((await chat(remaining!, "after")).status).to.equal(200);
  });

  it("run a booking once when each receives it and another receives it again after one is killed", async () => {
    const headers = { "idempotency-key": "one" };
    const responses = await Promise.all(
      system.daemons.map((daemon) => book(daemon, "sling-1", headers)),
    );
    const bodies = new Set(
      await Promise.all(responses.map((response) => response.text())),
    );
    system.daemons[0]!.stop();
    system.daemons[0]!.stop();
    const repeated = await book(system.daemons[2]!, "sling-1", headers);
    expect(await repeated.text()).to.equal([...bodies][0]);
    expect(bodies.size).to.equal(1);
    expect(system.bookings.length).to.equal(1);
  });

  it("keep serving while the log is down, and start a new daemon from a peer's folded state", async () => {
    system.log.faults.down = true;
    await waitUntil(() =>
      system.daemons.every(({ state }) => !state.log.reachable)
    );
    const newDaemon = await system.addDaemon();
    await waitUntil(() => newDaemon.state.ready);
    await waitUntil(() =>
      [...newDaemon.state.targets.values()].filter(({ phase }) =>
        phase === "serving"
      ).length === 3
    );
    expect((await chat(newDaemon, "hello")).status).to.equal(200);
    expect(newDaemon.state.config?.offset).to.equal(
      system.daemons[0]!.state.config?.offset,
    );
  });
});

describe("a caller that does not read its response", () => {
  it("slows down its engine's stream and is disconnected after callerStallMs", async () => {
    const system = await startTestSystem({
      daemons: 1,
      stepMs: 0,
      responseTokens: 60_000,
      overrides: { limits: { callerStallMs: 400 } },
    });
    const { connect } = await import("node:net");
    const { state, addresses } = system.daemons[0]!;
    const url = new URL(addresses.callers);
    const socket = connect(Number(url.port), url.hostname);
    socket.on("error", () => undefined);
    const body = JSON.stringify({
      model: "assistant",
      stream: true,
      messages: [{ role: "user", content: "x" }],
    });
    const requestHead = [
      "POST /v1/chat/completions HTTP/1.1",
      "host: x",
      "authorization: Bearer demo-tavua-key",
      `content-length: ${body.length}`,
    ];
    socket.pause();
    socket.write(`${requestHead.join("\r\n")}\r\n\r\n${body}`);
    await waitUntil(() => state.requests.size === 1);
    const [request] = state.requests.values();
    await waitUntil(() => state.requests.size === 0);
    expect(request!.deliveredTokens).to.be.within(1, 59_000);
    expect(request!.verdict).to.equal("may_have_run");
    socket.destroy();
    await system.kill();
  });
});
