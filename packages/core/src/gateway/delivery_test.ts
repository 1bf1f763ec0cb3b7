import { expect } from "chai";
import type { Effect } from "../effect/types.ts";
import type { Outcome } from "../verdict/types.ts";
import {
  ask,
  createDocument,
  createGate,
  createHead,
  createRoute,
  createRunner,
  type Gate,
  only,
  teach,
} from "./test_fixture.ts";

function startDesk(count = 3): Gate {
  const gate = createGate();
  const runners = Array.from(
    { length: count },
    (_, index) => createRunner(`desk-${index}`),
  );
  teach(gate, { runners });
  return gate;
}

function startChat(count = 3): Gate {
  const gate = createGate();
  const runners = Array.from(
    { length: count },
    (_, index) => createHead(`head-${index}`),
  );
  teach(gate, { runners });
  return gate;
}

function fail(
  gate: Gate,
  request: string,
  { attempt = 1, outcome }: { attempt?: number; outcome: Outcome },
): Effect[] {
  return gate.feed({ kind: "reply_failed", request, attempt, outcome });
}

function refusalOf(effects: readonly Effect[]) {
  return only(effects, "refuse")[0];
}

describe("requests by kind of route", () => {
  it("sends a request to a runner with its team and its remaining time", () => {
    const gate = startDesk();
    const [send] = only(ask(gate, "r1", { deadlineMs: 500 }), "try_runner");
    expect(send).to.include({ team: "team-a", remainingMs: 500, attempt: 1 });
  });

  it("limits the remaining time to the timeout of the route", () => {
    const gate = startDesk();
    const [send] = only(ask(gate, "r1", { deadlineMs: 60_000 }), "try_runner");
    expect(send!.remainingMs).to.equal(800);
  });

  const failures: [Outcome, number, string | undefined][] = [
    ["connect_refused", 1, undefined],
    ["connect_timeout", 0, "not_run"],
    ["reset_before_send", 1, undefined],
    ["status_not_run", 0, "not_run"],
    ["reset_after_send", 0, "may_have_run"],
    ["response_timeout", 0, "may_have_run"],
    ["body_cut_off", 0, "may_have_run"],
    ["foreign_answer", 0, "may_have_run"],
  ];
  for (const [outcome, resends, verdict] of failures) {
    it(`resends a non-idempotent request or reports the right verdict after ${outcome}`, () => {
      const gate = createGate();
      const booking = createRoute({
        name: "book",
        prefix: "/book/",
        kind: "non_idempotent",
        maxAttempts: 1,
      });
      teach(gate, {
        runners: [createRunner("desk-0"), createRunner("desk-1")],
        document: createDocument({ routes: [booking] }),
      });
      ask(gate, "r1", { path: "/book/1" });
      const effects = fail(gate, "r1", { outcome });
      expect(only(effects, "try_runner")).to.have.length(resends);
      expect(refusalOf(effects)?.verdict).to.equal(verdict);
    });
  }

  it("never resends a non-idempotent request that may have run, even where attempts are left", () => {
    const gate = startDesk();
    ask(gate, "r1", { path: "/book/1" });
    const effects = fail(gate, "r1", { outcome: "reset_after_send" });
    expect(only(effects, "try_runner")).to.deep.equal([]);
    expect(refusalOf(effects)).to.include({ verdict: "may_have_run" });
  });

  it("resends an idempotent request to another runner, up to the maximum number of attempts", () => {
    const gate = startDesk();
    const [first] = only(ask(gate, "r1"), "try_runner");
    const second = fail(gate, "r1", { outcome: "reset_after_send" });
    const [again] = only(second, "try_runner");
    expect(again!.runner).not.to.equal(first!.runner);
    const last = fail(gate, "r1", { attempt: 2, outcome: "body_cut_off" });
    expect(only(last, "try_runner")).to.deep.equal([]);
    expect(refusalOf(last)?.verdict).to.equal("may_have_run");
  });

  it("relays a runner's error response once no attempt is left", () => {
    const gate = startDesk(1);
    ask(gate, "r1");
    const effects = gate.feed({
      kind: "reply_ended",
      request: "r1",
      attempt: 1,
      status: 500,
      verdict: "may_have_run",
      relayable: true,
    });
    expect(only(effects, "relay")).to.have.length(1);
    expect(only(effects, "refuse")).to.deep.equal([]);
  });

  it("refuses a request at the timeout of the route, as may have run where it was sent", () => {
    const gate = startDesk();
    ask(gate, "r1", { path: "/book/1" });
    const effects = gate.pass(900);
    expect(only(effects, "cancel")).to.have.length(1);
    expect(refusalOf(effects)).to.include({
      code: "deadline_passed",
      verdict: "may_have_run",
    });
  });

  it("cancels the attempt as soon as the caller closes the connection", () => {
    const gate = startDesk();
    ask(gate, "r1");
    const effects = gate.feed({ kind: "delivery_left", request: "r1" });
    expect(only(effects, "cancel")).to.have.length(1);
    expect(gate.state.gateway!.deliveries.size).to.equal(0);
  });

  it("ignores the response of an attempt that has already failed", () => {
    const gate = startDesk();
    ask(gate, "r1");
    fail(gate, "r1", { outcome: "reset_after_send" });
    const late = gate.feed({
      kind: "reply_ended",
      request: "r1",
      attempt: 1,
      status: 200,
      verdict: "ran",
      relayable: false,
    });
    expect(late).to.deep.equal([]);
  });
});

describe("streams", () => {
  it("are resumed at another group after the last whole event", () => {
    const gate = startChat();
    const [first] = only(
      ask(gate, "r1", { path: "/chat/1", model: "small" }),
      "try_runner",
    );
    gate.feed({
      kind: "reply_began",
      request: "r1",
      attempt: 1,
      status: 200,
      verdict: "ran",
      load: undefined,
    });
    gate.feed({
      kind: "reply_progressed",
      request: "r1",
      attempt: 1,
      lastEvent: "7",
    });
    const effects = fail(gate, "r1", { outcome: "body_cut_off" });
    const [again] = only(effects, "try_runner");
    expect(again!.runner).not.to.equal(first!.runner);
    expect(again!.resumeAfter).to.equal("7");
  });

  it("are moved to another group when their runner is silent", () => {
    const gate = startChat();
    ask(gate, "r1", { path: "/chat/1", model: "small", deadlineMs: 8_000 });
    gate.feed({
      kind: "reply_began",
      request: "r1",
      attempt: 1,
      status: 200,
      verdict: "ran",
      load: undefined,
    });
    const effects = gate.pass(1_000);
    expect(only(effects, "cancel")).to.have.length(1);
    expect(only(effects, "try_runner")).to.have.length(1);
  });

  it("are never sent twice where they cannot be resumed", () => {
    const gate = createGate();
    const chat = createRoute({
      prefix: "/chat/",
      kind: "stream",
      timeoutMs: 8_000,
      backends: [{ service: "llm", weight: 1 }],
    });
    teach(gate, {
      runners: [createHead("head-0"), createHead("head-1")],
      document: createDocument({ routes: [chat] }),
    });
    ask(gate, "r1", { path: "/chat/1", model: "small" });
    const effects = fail(gate, "r1", { outcome: "body_cut_off" });
    expect(only(effects, "try_runner")).to.deep.equal([]);
    expect(refusalOf(effects)?.verdict).to.equal("may_have_run");
  });

  it("are refused at once as not run while no group serves their model", () => {
    const gate = startChat();
    const effects = ask(gate, "r1", { path: "/chat/1", model: "large" });
    expect(refusalOf(effects)).to.include({
      code: "no_capacity",
      verdict: "not_run",
    });
    expect(refusalOf(effects)!.retryAfterMs).to.be.above(0);
  });

  it("are refused at once where they fit into no runner's memory", () => {
    const gate = startChat();
    const effects = gate.feed({
      kind: "delivery_asked",
      request: "r1",
      host: "a.example",
      path: "/chat/1",
      key: "key-a",
      deadlineMs: 8_000,
      model: "small",
      promptTokens: 2_000_000,
      maxOutputTokens: 10,
      lastEvent: undefined,
    });
    expect(refusalOf(effects)?.verdict).to.equal("not_run");
  });
});

describe("retry budget", () => {
  it("limits the retries while most requests fail", () => {
    const gate = startDesk(3);
    let repeats = 0;
    for (let index = 0; index < 200; index += 1) {
      ask(gate, `r${index}`);
      const effects = fail(gate, `r${index}`, { outcome: "reset_after_send" });
      repeats += only(effects, "try_runner").length;
      gate.pass(50);
      for (const target of gate.state.gateway!.targets.values()) {
        target.avoidUntil = 0;
      }
    }
    expect(repeats).to.be.at.most(200 * 0.2 + 109 / 12 + 1);
    expect(repeats).to.be.at.least(20);
  });

  it("limits this daemon's part of the common slack to its share of all requests", () => {
    const gate = startDesk(3);
    gate.state.gateway!.workShare.value = 1 / 950;
    let repeats = 0;
    for (let index = 0; index < 100; index += 1) {
      ask(gate, `r${index}`);
      const effects = fail(gate, `r${index}`, { outcome: "reset_after_send" });
      repeats += only(effects, "try_runner").length;
      for (const target of gate.state.gateway!.targets.values()) {
        target.avoidUntil = 0;
      }
    }
    expect(repeats).to.be.at.most(100 * 0.2 + 109 / 950);
  });
});
