import { expect } from "chai";
import * as fc from "fast-check";
import type { Effect } from "../effect/types.ts";
import type { EventBody } from "../event/types.ts";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  createRunner,
  effectsOf,
  type GatewayHarness,
  publish,
  refusalOf,
  sendRequest,
} from "../gateway/test_fixture.ts";
import type { Route } from "../gateway/types.ts";
import { reduce } from "../reduce.ts";
import { hasDueEvent, isCatchingUp } from "./mod.ts";

const LATE_MS = 1_500;
/** Enough that failures of all requests leave some that are not avoided. */
const RUNNERS = 40;

/** Returns an event that the event loop handled late. */
function late<E extends EventBody>(event: E): E & { lateMs: number } {
  return { ...event, lateMs: LATE_MS };
}

function arrival(request: string, deadlineMs = 1_500): EventBody {
  return {
    kind: "routed_request_arrived",
    request,
    host: "a.example",
    path: "/loans/1",
    key: "key-a",
    deadlineMs,
    model: undefined,
    promptTokens: 0,
    maxOutputTokens: 0,
    promptParts: [],
    lastEvent: undefined,
  };
}

function closing(request: string): EventBody {
  return { kind: "routed_request_closed", request };
}

function failure(request: string): EventBody {
  return {
    kind: "response_failed",
    request,
    attempt: 1,
    outcome: "reset_after_send",
  };
}

function start(route: Partial<Route> = {}): GatewayHarness {
  const harness = createHarness({ retrySlack: 10_000 }, { retries: 100 });
  const desks = Array.from(
    { length: RUNNERS },
    (_, index) => createRunner(`desk-${index}`, { address: `desk:${index}` }),
  );
  const document = createDocument({ routes: [createRoute(route)] });
  publish(harness, { runners: [...desks, createHead("head-1")], document });
  return harness;
}

/** Reads all sockets once, then handles the events held back that are due. */
function read(harness: GatewayHarness): Effect[] {
  const effects = harness.feed({ kind: "sockets_read" });
  while (hasDueEvent(harness.state)) {
    effects.push(...harness.feed({ kind: "deferred_due" }));
  }
  return effects;
}

function catchUp(harness: GatewayHarness): Effect[] {
  const effects: Effect[] = [];
  while (isCatchingUp(harness.state)) effects.push(...read(harness));
  return effects;
}

function sentBy(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "send_to_runner").map(({ request }) => request);
}

describe("catching up after a late turn", () => {
  it("sends a request only after the next read, where its caller still waits", () => {
    const harness = start();
    expect(sentBy(harness.feed(late(arrival("r1"))))).to.deep.equal([]);
    expect(sentBy(read(harness))).to.deep.equal([]);
    expect(sentBy(read(harness))).to.deep.equal(["r1"]);
  });

  it("drops a request whose caller left, and says so", () => {
    const harness = start();
    harness.feed(late(arrival("r1")));
    const [line] = effectsOf(harness.feed(closing("r1")), "log");
    expect(line).to.include({ event: "deferred_dropped" });
    expect(sentBy(catchUp(harness))).to.deep.equal([]);
  });

  it("holds back requests that are read on time after a late one", () => {
    const harness = start();
    harness.feed(late({ kind: "tick" }));
    expect(sentBy(harness.feed(arrival("r1")))).to.deep.equal([]);
    expect(sentBy(catchUp(harness))).to.deep.equal(["r1"]);
    expect(sentBy(harness.feed(arrival("r2")))).to.deep.equal(["r2"]);
  });

  it("judges no runner silent before its answer could be read", () => {
    const harness = start();
    sendRequest(harness, "r1");
    const at = harness.state.now;
    harness.state.now += LATE_MS;
    const attempt = { request: "r1", attempt: 1, status: 200 } as const;
    expect(sentBy(harness.feed(late({ kind: "tick" })))).to.deep.equal([]);
    const effects = harness.feed(late({
      kind: "response_ended",
      ...attempt,
      verdict: "ran",
      isRelayable: false,
    }));
    expect(effectsOf(effects, "finish")).to.have.length(1);
    expect(sentBy(catchUp(harness))).to.deep.equal([]);
    expect(harness.state.gateway!.runnerStats.values().next().value!.failures)
      .to.equal(0);
    expect(harness.state.now - at).to.equal(LATE_MS);
  });

  it("refuses a request whose deadline has passed meanwhile as not run", () => {
    const harness = start();
    harness.feed(late(arrival("r1", 200)));
    harness.advance(250);
    expect(refusalOf(catchUp(harness))).to.include({
      code: "deadline_passed",
      verdict: "not_run",
    });
  });

  it("gives a runner no more time than the caller has left", () => {
    const harness = start();
    harness.feed(late(arrival("r1", 700)));
    harness.advance(200);
    const [send] = effectsOf(catchUp(harness), "send_to_runner");
    expect(send!.remainingMs).to.equal(500);
  });

  it("drops a request of another daemon that has given it up", () => {
    const harness = start();
    harness.feed(late({
      kind: "forward_arrived",
      request: "f1",
      runner: "desk-1",
      host: "a.example",
      path: "/loans/1",
      key: "key-a",
      team: "team-a",
      promptParts: [],
      fingerprint: "",
      isTrial: false,
    }));
    harness.feed({ kind: "forward_ended", request: "f1" });
    expect(effectsOf(catchUp(harness), "forward")).to.deep.equal([]);
  });

  it("counts the grace time of a stop from when its signal may have come", () => {
    const harness = start();
    harness.feed(late({ kind: "gateway_stop_ordered" }));
    const { graceEndsAt, settings } = harness.state.gateway!;
    expect(graceEndsAt).to.equal(
      harness.state.now - LATE_MS + settings.graceMs,
    );
  });

  // Guards against GONE: whatever the order in which a late turn reads its events, closes count as read first.
  it("sends the same requests as if all closes had been read first", () => {
    const names = ["r1", "r2", "r3", "r4", "r5", "r6"];
    const choices = fc.array(
      fc.record({ isOpen: fc.boolean(), isClosed: fc.boolean() }),
      { minLength: names.length, maxLength: names.length },
    );
    const orders = fc.array(fc.nat(), { minLength: 12, maxLength: 12 });
    fc.assert(
      fc.property(choices, orders, (choices, order) => {
        const harness = start();
        const events: { event: EventBody; rank: number }[] = [];
        names.forEach((name, index) => {
          const { isOpen, isClosed } = choices[index]!;
          const rank = order[index]!;
          if (isOpen) sendRequest(harness, name);
          events.push({ event: isOpen ? failure(name) : arrival(name), rank });
          if (!isClosed) return;
          // A close is read after the request, and before or after its failure.
          const after = order[index + names.length]!;
          const closeRank = isOpen ? after : rank + after;
          events.push({ event: closing(name), rank: closeRank });
        });
        events.sort((left, right) => left.rank - right.rank);
        const effects = events.flatMap(({ event }) =>
          harness.feed(late(event))
        );
        effects.push(...catchUp(harness));
        const expected = names.filter((_, index) => !choices[index]!.isClosed);
        expect(sentBy(effects).sort()).to.deep.equal(expected);
      }),
      { numRuns: 300 },
    );
  });
});

describe("steady overload, where every turn is late", () => {
  const TURN_MS = 300;
  const TURNS = 40;

  /** Plays turns that each read some requests and handle some; returns the wait of each request that was sent, ms. */
  function overload(
    { perTurn, handled, patienceMs }: {
      perTurn: number;
      handled: number;
      patienceMs: number;
    },
  ): { waits: number[]; sent: string[]; left: Set<string> } {
    const { state } = start({ timeoutMs: 60_000 });
    const arrivedAt = new Map<string, number>();
    const left = new Set<string>();
    const waits: number[] = [];
    const sent: string[] = [];
    let now = 0;
    const feed = (event: EventBody, lateMs = 0) =>
      reduce(state, { ...event, at: now, lateMs });
    for (let turn = 0; turn < TURNS; turn += 1) {
      now += TURN_MS;
      feed({ kind: "freshness_confirmed", topic: "routing", confirmedAt: now });
      for (const [name, at] of arrivedAt) {
        if (now - at < patienceMs) continue;
        arrivedAt.delete(name);
        left.add(name);
        feed(closing(name), TURN_MS);
      }
      for (let index = 0; index < perTurn; index += 1) {
        const name = `r${turn}-${index}`;
        arrivedAt.set(name, now);
        feed(arrival(name, 60_000), TURN_MS);
      }
      const effects = feed({ kind: "sockets_read" });
      for (let count = 0; count < handled && hasDueEvent(state); count += 1) {
        effects.push(...feed({ kind: "deferred_due" }));
      }
      for (const name of sentBy(effects)) {
        sent.push(name);
        waits.push(now - arrivedAt.get(name)!);
        feed(closing(name), TURN_MS);
        arrivedAt.delete(name);
      }
    }
    return { waits, sent, left };
  }

  it("serves every caller one turn later, as long as it has time for all", () => {
    const { waits, sent } = overload({
      perTurn: 5,
      handled: 5,
      patienceMs: 2_000,
    });
    expect(sent).to.have.length(5 * (TURNS - 1));
    expect(Math.max(...waits)).to.be.at.most(TURN_MS);
  });

  it("sends only for callers that still wait, and as much as it can, where it has time for half", () => {
    const { sent, left } = overload({
      perTurn: 10,
      handled: 5,
      patienceMs: 1_000,
    });
    expect(sent).to.have.length(5 * (TURNS - 1));
    expect(sent.filter((name) => left.has(name))).to.deep.equal([]);
  });
});
