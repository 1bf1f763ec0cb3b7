import { expect } from "chai";
import { SHARERS } from "./constants.ts";
import { isLate } from "./lateness.ts";
import {
  ask,
  createGate,
  createHead,
  createRoute,
  ENGINE,
  type Gate,
  only,
  teach,
} from "./test_fixture.ts";

const ROUTE = createRoute({ targetLatencyMs: 250 });
const CHAT = { path: "/chat/1", model: "small" };
const FULL_MS = 6_000;
const RETRY_MS = 4_000;
/** Without a report of its load, own requests at a group count for each daemon that shares it. */
const OWN_PLACES = ENGINE.slots / SHARERS;

function startGroup(): Gate {
  const gate = createGate();
  teach(gate, { runners: [createHead("head-0")] });
  return gate;
}

function fill(gate: Gate, count: number): void {
  for (let index = 0; index < count; index += 1) {
    ask(gate, `full-${index}`, { ...CHAT, deadlineMs: FULL_MS });
  }
}

/** Ends one stream well, so that its place is free. */
function end(gate: Gate, request: string) {
  return gate.feed({
    kind: "reply_ended",
    request,
    attempt: 1,
    status: 200,
    verdict: "ran",
    relayable: true,
    outputTokens: 100,
  });
}

describe("lateness", () => {
  it("takes the first caller of a route for one on time", () => {
    const { gateway } = createGate().state;
    const options = { route: ROUTE, deadlineMs: RETRY_MS, now: 0 };
    expect(isLate(gateway!, options)).to.equal(false);
  });

  it("takes a caller that grants much less than others for late", () => {
    const { gateway } = createGate().state;
    isLate(gateway!, { route: ROUTE, deadlineMs: FULL_MS, now: 0 });
    const late = { route: ROUTE, deadlineMs: FULL_MS - 251, now: 0 };
    const onTime = { route: ROUTE, deadlineMs: FULL_MS - 250, now: 0 };
    expect(isLate(gateway!, late)).to.equal(true);
    expect(isLate(gateway!, onTime)).to.equal(false);
  });

  it("forgets a longer budget that callers no longer grant", () => {
    const { gateway } = createGate().state;
    isLate(gateway!, { route: ROUTE, deadlineMs: FULL_MS, now: 0 });
    const later = { route: ROUTE, deadlineMs: RETRY_MS, now: 600_000 };
    expect(isLate(gateway!, later)).to.equal(false);
  });

  it("says nothing of a caller that grants no time of its own", () => {
    const { gateway } = createGate().state;
    isLate(gateway!, { route: ROUTE, deadlineMs: FULL_MS, now: 0 });
    const options = { route: ROUTE, deadlineMs: undefined, now: 0 };
    expect(isLate(gateway!, options)).to.equal(false);
  });
});

describe("a crowd of callers that come back after an outage", () => {
  it("leaves the last places of a group to those that can be on time", () => {
    const gate = startGroup();
    fill(gate, OWN_PLACES - 1);
    const late = ask(gate, "late", { ...CHAT, deadlineMs: RETRY_MS });
    const onTime = ask(gate, "on-time", { ...CHAT, deadlineMs: FULL_MS });
    expect(only(late, "try_runner")).to.deep.equal([]);
    expect(only(onTime, "try_runner")).to.have.length(1);
  });

  it("is served after those that can be on time, also where it waits longer", () => {
    const gate = startGroup();
    fill(gate, OWN_PLACES);
    ask(gate, "late", { ...CHAT, deadlineMs: RETRY_MS });
    ask(gate, "on-time", { ...CHAT, deadlineMs: FULL_MS });
    const sends = [];
    for (let index = 0; index < OWN_PLACES; index += 1) {
      sends.push(...only(end(gate, `full-${index}`), "try_runner"));
    }
    expect(sends.map(({ request }) => request)).to.deep.equal([
      "on-time",
      "late",
    ]);
  });
});
