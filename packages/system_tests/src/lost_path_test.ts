import {
  type BreakableConnect,
  createBreakableConnect,
  type System,
  waitUntil,
} from "@primroseshed/stand_ins";
import { expect } from "chai";
import { book, chat, echo, type ErrorBody } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

/** Longer than the time after which a planner presumes a silent member dead, ms. */
const WATCHED_MS = 7_000;
/** Time after which a daemon knows that it is cut off, ms. */
const CUT_KNOWN_MS = 3_000;

function addressesOf({ engines, lendingServers }: System): string[] {
  return [...engines, ...lendingServers].map(({ address }) =>
    address.replace("http://", "")
  );
}

describe("a daemon of the product's own interface whose path to the backend servers is cut", () => {
  let system: System;
  let networks: BreakableConnect[];

  beforeEach(async () => {
    networks = [createBreakableConnect(), createBreakableConnect()];
    system = await startTestSystem({
      connectOf: (daemon) => networks[daemon - 1]?.connect,
    });
  });
  afterEach(() => system.kill());

  function cut(daemon: number): void {
    networks[daemon]!.cut("silent", addressesOf(system));
  }

  // Guards against a planner that takes its own cut for the death of all engines and dissolves their groups.
  it("dissolves no groups", async () => {
    const [first] = system.daemons;
    const names = [...first!.state.fold.groups.keys()];
    expect(names).to.not.deep.equal([]);
    const planner = system.daemons.findIndex(({ state }) =>
      [...state.planners.values()].some(({ grant }) => grant !== undefined)
    );
    cut(planner);
    await new Promise((resolve) => setTimeout(resolve, WATCHED_MS));
    const sound = system.daemons[1 - planner]!;
    expect([...sound.state.fold.groups.keys()]).to.deep.equal(names);
    expect((await chat(sound, "after")).status).to.equal(200);
  });

  // Guards against incident inc1 of issue 31: callers of the cut-off daemon are refused while the other reaches all.
  it("serves its callers through the other daemon", async () => {
    cut(0);
    await new Promise((resolve) => setTimeout(resolve, CUT_KNOWN_MS));
    const statuses: number[] = [];
    for (let index = 0; index < 5; index += 1) {
      const response = await chat(system.daemons[0]!, `question ${index}`);
      statuses.push(response.status);
    }
    expect(statuses).to.deep.equal(statuses.map(() => 200));
  });

  it("runs its callers' bookings once, through the other daemon", async () => {
    cut(0);
    await new Promise((resolve) => setTimeout(resolve, CUT_KNOWN_MS));
    for (const item of ["sling-1", "sling-2"]) {
      const response = await book(system.daemons[0]!, item, {
        "idempotency-key": item,
      });
      expect(response.status).to.equal(201);
    }
    expect(system.bookings.map(({ item }) => item)).to.deep.equal(
      ["sling-1", "sling-2"],
    );
  });

  // Guards against the class of case 1 of the review, and against a relayed request that cannot be sent for its `Expect`.
  it("passes on the bytes of headers as they are, and requests that expect to be continued", async () => {
    cut(0);
    await new Promise((resolve) => setTimeout(resolve, CUT_KNOWN_MS));
    for (
      const { type, ...headers } of [
        { type: "text/\u00f0lain" },
        { type: "text/plain", expect: "100-continue" },
      ]
    ) {
      const answer = await echo(system.daemons[0]!, {
        "content-type": type,
        ...headers,
        body: "hello",
      });
      expect(answer).to.deep.equal({ status: 200, type, text: "hello" });
    }
  });

  it("does not say that a booking has not run where the other daemon breaks off", async () => {
    cut(0);
    await new Promise((resolve) => setTimeout(resolve, CUT_KNOWN_MS));
    for (const { faults } of system.lendingServers) {
      faults.responseDelayMs = 2_000;
    }
    const response = book(system.daemons[0]!, "sling-1", {
      "idempotency-key": "k",
    });
    await waitUntil(() => system.bookings.length === 1);
    const [, other] = system.daemons;
    other!.stop();
    other!.stop();
    const { error } = await (await response).json() as ErrorBody;
    expect(error.verdict).to.equal("may_have_run");
    expect(system.bookings).to.have.length(1);
  });

  it("refuses its callers at once as not run where all daemons are cut off", async () => {
    for (const daemon of [0, 1]) cut(daemon);
    await new Promise((resolve) => setTimeout(resolve, CUT_KNOWN_MS));
    const before = performance.now();
    const response = await chat(system.daemons[0]!, "question");
    expect(performance.now() - before).to.be.below(1_000);
    expect(response.status).to.equal(503);
    const { error } = await response.json() as ErrorBody;
    expect(error.verdict).to.equal("not_run");
  });
});
