import { request as httpRequest } from "node:http";
import {
  CALLER_KEYS,
  startLendingServer,
  type System,
  waitUntil,
} from "@primroseshed/stand_ins";
import { expect } from "chai";
import { book, createHeaders, echo, type ErrorBody } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

describe("plain services", () => {
  let system: System;
  beforeEach(async () => system = await startTestSystem({ lendingServers: 2 }));
  afterEach(() => system.kill());

  const callersAddress = () => system.daemons[0]!.addresses.callers;

  it("forwards the method, query, bodies and end-to-end headers", async () => {
    const response = await fetch(
      `${callersAddress()}/services/lending/echo?x=1`,
      {
        method: "POST",
        headers: createHeaders({ "content-type": "text/x-note" }),
        body: "hello",
      },
    );
    expect(response.headers.get("content-type")).to.equal("text/x-note");
    expect(response.headers.get("primrose-verdict")).to.equal("ran");
    expect(await response.text()).to.equal("hello");
  });

  // Guards against the class of case 1 of the review (MIXED): a header whose bytes are no UTF-8 cost the whole answer.
  it("forwards the bytes of headers as they are", async () => {
    const type = "text/\u00f0lain";
    const answer = await echo(system.daemons[0]!, {
      "content-type": type,
      body: "hello",
    });
    expect(answer).to.deep.equal({ status: 200, type, text: "hello" });
  });

  it("streams a large body in both directions", async () => {
    const body = "0123456789abcdef".repeat(64 * 1024);
    const response = await fetch(`${callersAddress()}/services/lending/echo`, {
      method: "POST",
      headers: createHeaders(),
      body,
    });
    expect(await response.text()).to.equal(body);
  });

  it("runs a booking once when two daemons receive it at the same time under one key", async () => {
    const responses = await Promise.all(
      [0, 1, 0, 1].map((daemonIndex) =>
        book(system.daemons[daemonIndex]!, "sling-1", {
          "idempotency-key": "k",
        })
      ),
    );
    const bodies = await Promise.all(
      responses.map((response) => response.text()),
    );
    expect(system.bookings.length).to.equal(1);
    expect(responses.map(({ status }) => status)).to.deep.equal([
      201,
      201,
      201,
      201,
    ]);
    expect(new Set(bodies).size).to.equal(1);
    expect(
      responses.filter(({ headers }) =>
        headers.get("primrose-replayed") === "true"
      ).length,
    ).to.equal(3);
  });

  it("refuses a different request under a used key", async () => {
    await book(system.daemons[0]!, "sling-1", { "idempotency-key": "k" });
    const response = await book(system.daemons[1]!, "sling-2", {
      "idempotency-key": "k",
    });
    expect((await response.json() as ErrorBody).error).to.include({
      code: "key_mismatch",
      verdict: "not_run",
    });
    expect(system.bookings.length).to.equal(1);
  });

  it("separates the idempotency keys of two callers", async () => {
    await book(system.daemons[0]!, "sling-1", { "idempotency-key": "k" });
    const response = await book(system.daemons[0]!, "sling-1", {
      "idempotency-key": "k",
      authorization: `Bearer ${CALLER_KEYS.abay}`,
    });
    expect(response.status).to.equal(201);
    expect(system.bookings.length).to.equal(2);
  });

  it("never repeats a booking whose response was lost, and returns may_have_run", async () => {
    for (const { faults } of system.lendingServers) faults.resetAfterRun = true;
    const response = await book(system.daemons[0]!, "sling-1", {
      "idempotency-key": "k",
    });
    const { error } = await response.json() as ErrorBody;
    expect(error.verdict).to.equal("may_have_run");
    expect(response.headers.get("primrose-verdict")).to.equal("may_have_run");
    for (const { faults } of system.lendingServers) {
      faults.resetAfterRun = false;
    }
    const repeated = await book(system.daemons[1]!, "sling-1", {
      "idempotency-key": "k",
    });
    expect((await repeated.json() as ErrorBody).error).to.include({
      code: "key_in_use",
      verdict: "may_have_run",
    });
    expect(system.bookings.length).to.equal(1);
  });

  it("retries a booking on another server only when the service reports that it did not run", async () => {
    system.lendingServers[0]!.faults.refusalStatus = 503;
    for (let count = 0; count < 4; count++) {
      expect((await book(system.daemons[0]!, `sling-${count}`)).status).to
        .equal(201);
    }
    expect(system.bookings.length).to.equal(4);
  });

  it("returns not_run for a booking that every server refuses, and lets its key be used again", async () => {
    for (const { faults } of system.lendingServers) faults.refusalStatus = 503;
    const refused = await book(system.daemons[0]!, "sling-1", {
      "idempotency-key": "k",
    });
    expect((await refused.json() as ErrorBody).error.verdict).to.equal(
      "not_run",
    );
    expect(system.bookings.length).to.equal(0);
    for (const { faults } of system.lendingServers) {
      faults.refusalStatus = undefined;
    }
    await waitUntil(() =>
      [...system.daemons[1]!.state.fold.claims.values()].some(({ verdict }) =>
        verdict === "not_run"
      )
    );
    const response = await book(system.daemons[1]!, "sling-1", {
      "idempotency-key": "k",
    });
    expect(response.status).to.equal(201);
    expect(system.bookings.length).to.equal(1);
  });

  it("refuses bookings with a key while the log is down, and still accepts reads and bookings without a key", async () => {
    system.log.faults.down = true;
    await waitUntil(() => !system.daemons[0]!.state.log.reachable);
    const refused = await book(system.daemons[0]!, "sling-1", {
      "idempotency-key": "k",
    });
    expect((await refused.json() as ErrorBody).error).to.include({
      code: "log_unavailable",
      verdict: "not_run",
    });
    expect(refused.headers.get("retry-after")).to.equal("5");
    expect((await book(system.daemons[0]!, "sling-2")).status).to.equal(201);
    const listResponse = await fetch(
      `${callersAddress()}/services/lending/bookings`,
      {
        headers: createHeaders(),
      },
    );
    expect(
      (await listResponse.json() as { bookings: unknown[] }).bookings.length,
    ).to
      .equal(1);
  });

  it("claims a key once although the log's responses to the appends are lost", async () => {
    system.log.faults.loseResponses = true;
    const first = book(system.daemons[0]!, "sling-1", {
      "idempotency-key": "k",
    });
    await waitUntil(() =>
      system.log.read("control").some(({ record }) => record.type === "claim")
    );
    system.log.faults.loseResponses = false;
    expect((await first).status).to.equal(201);
    expect(
      (await book(system.daemons[1]!, "sling-1", { "idempotency-key": "k" }))
        .status,
    ).to.equal(201);
    expect(system.bookings.length).to.equal(1);
  });

  it("breaks the connection when a response is cut off, instead of ending it as if it were complete", async () => {
    for (const { faults } of system.lendingServers) faults.cutBody = true;
    const response = await fetch(
      `${callersAddress()}/services/lending/bookings`,
      {
        headers: createHeaders(),
      },
    );
    const text = await response.text().catch(() => "cut");
    expect(text).to.equal("cut");
  });

  it("sends no new requests to a leaving backend server, and uses it again under a new incarnation", async () => {
    const leaving = system.lendingServers[0]!;
    const { state } = system.daemons[0]!;
    const target = state.targets.get(`lending/${leaving.status.vm}`)!;
    leaving.status.state = "leaving";
    await waitUntil(() => target.phase === "draining");
    leaving.status.state = "ready";
    leaving.faults.refusalStatus = 500;
    for (let count = 0; count < 6; count++) {
      expect((await book(system.daemons[0]!, `sling-${count}`)).status).to
        .equal(201);
    }
    expect(target.phase).to.equal("draining");
    leaving.status.incarnation = "lending-1-1";
    await waitUntil(() => target.phase === "serving");
  });

  it("uses a backend server that is added by configuration", async () => {
    const added = await startLendingServer({
      vm: "lending-3",
      bookings: system.bookings,
    });
    const { document } = system.daemons[0]!.state.acceptedConfig!.offset > 0
      ? {
        document: structuredClone(
          system.daemons[0]!.state.acceptedConfig!.document,
        ),
      }
      : { document: { base: {}, overlays: {} } };
    const base = document.base as {
      deployments: { lending: { backends: unknown[] } };
    };
    base.deployments.lending.backends.push({
      vm: "lending-3",
      address: added.address,
      zone: "suva-a",
    });
    system.log.append("control", [
      {
        type: "config",
        basedOn: 1,
        document,
        author: "test",
        id: "test/config",
        level: 1,
      },
    ]);
    await waitUntil(() =>
      system.daemons.every(({ state }) =>
        state.targets.get("lending/lending-3")?.phase === "serving"
      )
    );
    await added.close();
  });

  it("cancels a request whose caller disconnects", async () => {
    for (const { faults } of system.lendingServers) {
      faults.responseDelayMs = 10_000;
    }
    const request = httpRequest(
      `${callersAddress()}/services/lending/bookings`,
      {
        method: "POST",
        headers: createHeaders(),
      },
    );
    request.on("error", () => undefined);
    request.end('{"item":"sling-1"}');
    await waitUntil(() => system.bookings.length === 1);
    request.destroy();
    await waitUntil(() => system.daemons[0]!.state.requests.size === 0);
    expect(system.bookings.length).to.equal(1);
  });
});
