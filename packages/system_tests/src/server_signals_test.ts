import { type System, waitUntil } from "@primroseshed/stand_ins";
import { expect } from "chai";
import { book, chat } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

const BACKOFF_S = 3;
const BACKOFF_HEADERS = { "retry-after": String(BACKOFF_S) };
const LEAVING_HEADERS = { "primrose-leaving": "1" };
/** Time for which requests that were on their way may still arrive, ms. */
const TOLERANCE_MS = 500;
const TOLERATED_REQUESTS = 2;
const PAUSE_MS = 50;

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Returns the times that fall into the back-off that was asked for first. */
function lateOf(refusedAt: number[]): number[] {
  const [first = Infinity] = refusedAt;
  return refusedAt.filter((at) =>
    at > first + TOLERANCE_MS && at < first + BACKOFF_S * 1_000
  );
}

describe("backend servers that say something of themselves, on the product's own interface", () => {
  let system: System;
  beforeEach(async () => system = await startTestSystem({ lendingServers: 2 }));
  afterEach(() => system.kill());

  // Guards against the second report of issue 38 on this path: requests in the back-off that a server had asked for.
  it("get at most two requests of a daemon in the back-off that a service asks for, while others serve", async () => {
    const [refusing] = system.lendingServers;
    refusing!.faults.refusalStatus = 503;
    refusing!.faults.headers = BACKOFF_HEADERS;
    const end = performance.now() + BACKOFF_S * 1_000;
    for (let index = 0; performance.now() < end; index += 1) {
      const response = await book(system.daemons[0]!, "sling-1", {
        "idempotency-key": `k${index}`,
      });
      expect(response.status).to.equal(201);
      await pause(PAUSE_MS);
    }
    const { refusedAt } = refusing!.faults;
    expect(refusedAt.length).to.be.at.least(1);
    expect(lateOf(refusedAt).length).to.be.at.most(TOLERATED_REQUESTS);
  });

  it("get at most two in the back-off that an engine asks for, and callers are refused at once where all ask for a back-off", async () => {
    for (const { faults } of system.engines) {
      faults.refusesRequests = true;
      faults.headers = BACKOFF_HEADERS;
    }
    await chat(system.daemons[0]!, "first");
    await chat(system.daemons[0]!, "second");
    const before = performance.now();
    const response = await chat(system.daemons[0]!, "third");
    expect(performance.now() - before).to.be.below(500);
    expect(response.status).to.equal(503);
    expect(Number(response.headers.get("retry-after"))).to.be.within(2, 4);
    for (let index = 0; index < 20; index += 1) {
      await chat(system.daemons[0]!, `later ${index}`);
      await pause(PAUSE_MS);
    }
    for (const { faults: { refusedAt } } of system.engines) {
      expect(lateOf(refusedAt).length).to.be.at.most(TOLERATED_REQUESTS);
    }
  });

  it("get no more requests once they have said that they leave", async () => {
    const [leaving, other] = system.lendingServers;
    other!.faults.refusalStatus = 503;
    leaving!.faults.headers = LEAVING_HEADERS;
    await book(system.daemons[0]!, "sling-1", { "idempotency-key": "k" });
    await waitUntil(() => system.daemons[0]!.state.leaving.size === 1);
    other!.faults.refusalStatus = undefined;
    leaving!.faults.refusalStatus = 503;
    await pause(TOLERANCE_MS);
    for (let index = 0; index < 20; index += 1) {
      await book(system.daemons[0]!, "sling-1", {
        "idempotency-key": `later ${index}`,
      });
    }
    expect(leaving!.faults.refusedAt).to.deep.equal([]);
  });
});
