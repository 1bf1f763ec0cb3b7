import { expect } from "chai";
import type { Effect } from "../effect/types.ts";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  effectsOf,
  failAttempt,
  type GatewayHarness,
  publish,
  refusalOf,
  sendRequest,
} from "./test_fixture.ts";

function startChat(count = 3): GatewayHarness {
  const harness = createHarness();
  const runners = Array.from(
    { length: count },
    (_, index) => createHead(`head-${index}`),
  );
  publish(harness, { runners });
  return harness;
}

describe("streams", () => {
  it("are resumed at another group after the last whole event", () => {
    const harness = startChat();
    const [first] = effectsOf(
      sendRequest(harness, "r1", { path: "/chat/1", model: "small" }),
      "send_to_runner",
    );
    harness.feed({
      kind: "response_started",
      request: "r1",
      attempt: 1,
      status: 200,
      verdict: "ran",
      load: undefined,
    });
    harness.feed({
      kind: "response_progressed",
      request: "r1",
      attempt: 1,
      lastEvent: "7",
    });
    const effects = failAttempt(harness, "r1", { outcome: "body_cut_off" });
    const [again] = effectsOf(effects, "send_to_runner");
    expect(again!.runner).not.to.equal(first!.runner);
    expect(again!.resumeAfter).to.equal("7");
  });

  it("are moved to another group when their runner is silent", () => {
    const harness = startChat();
    sendRequest(harness, "r1", {
      path: "/chat/1",
      model: "small",
      deadlineMs: 8_000,
    });
    harness.feed({
      kind: "response_started",
      request: "r1",
      attempt: 1,
      status: 200,
      verdict: "ran",
      load: undefined,
    });
    const effects = harness.advance(1_000);
    expect(effectsOf(effects, "cancel")).to.have.length(1);
    expect(effectsOf(effects, "send_to_runner")).to.have.length(1);
  });

  it("are not moved while their caller reads slowly, which is no fault of the runner", () => {
    const harness = startChat();
    startStream(harness);
    const block = (isBlocked: boolean) =>
      harness.feed({
        kind: "relay_blocked",
        request: "r1",
        attempt: 1,
        isBlocked,
      });
    block(true);
    expect(effectsOf(harness.advance(3_000), "cancel")).to.deep.equal([]);
    block(false);
    expect(effectsOf(harness.advance(1_000), "send_to_runner")).to.have
      .length(1);
  });

  it("are moved where no whole event arrives for too long", () => {
    const harness = startChat();
    startStream(harness);
    harness.advance(500);
    expect(effectsOf(harness.advance(200), "send_to_runner")).to.have
      .length(1);
  });

  it("that pause longer than usual are not cut off while no other group is left", () => {
    const harness = startChat(1);
    startStream(harness);
    const effects = harness.advance(3_000);
    expect(effectsOf(effects, "cancel")).to.deep.equal([]);
    expect(refusalOf(effects)).to.equal(undefined);
    harness.feed({
      kind: "response_progressed",
      request: "r1",
      attempt: 1,
      lastEvent: "8",
    });
    expect(harness.state.gateway!.requests.size).to.equal(1);
  });

  it("are never sent twice where they cannot be resumed", () => {
    const harness = createHarness();
    const chat = createRoute({
      prefix: "/chat/",
      kind: "stream",
      timeoutMs: 8_000,
      backends: [{ service: "llm", weight: 1 }],
    });
    publish(harness, {
      runners: [createHead("head-0"), createHead("head-1")],
      document: createDocument({ routes: [chat] }),
    });
    sendRequest(harness, "r1", { path: "/chat/1", model: "small" });
    const effects = failAttempt(harness, "r1", { outcome: "body_cut_off" });
    expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
    expect(refusalOf(effects)?.verdict).to.equal("may_have_run");
  });

  it("are refused at once as not run while no group serves their model", () => {
    const harness = startChat();
    const effects = sendRequest(harness, "r1", {
      path: "/chat/1",
      model: "large",
    });
    expect(refusalOf(effects)).to.include({
      code: "no_capacity",
      verdict: "not_run",
    });
    expect(refusalOf(effects)!.retryAfterMs).to.be.above(0);
  });

  it("are refused at once where they fit into no runner's memory", () => {
    const harness = startChat();
    const effects = harness.feed({
      kind: "routed_request_arrived",
      request: "r1",
      host: "a.example",
      path: "/chat/1",
      key: "key-a",
      deadlineMs: 8_000,
      model: "small",
      promptTokens: 2_000_000,
      maxOutputTokens: 10,
      promptParts: [],
      lastEvent: undefined,
    });
    expect(refusalOf(effects)?.verdict).to.equal("not_run");
  });
});

/** Starts a stream that has relayed event 7. */
function startStream(harness: GatewayHarness): void {
  sendRequest(harness, "r1", {
    path: "/chat/1",
    model: "small",
    deadlineMs: 8_000,
  });
  const at = { request: "r1", attempt: 1 };
  harness.feed({
    kind: "response_started",
    ...at,
    status: 200,
    verdict: "ran",
    load: undefined,
  });
  harness.feed({ kind: "response_progressed", ...at, lastEvent: "7" });
}

/** Starts a stream and breaks it off; the first send after that is attempt 2. */
function breakStream(harness: GatewayHarness): Effect[] {
  startStream(harness);
  return failAttempt(harness, "r1", { outcome: "body_cut_off" });
}

/** Fills the groups that this daemon knows with requests of other daemons. */
function fillGroups(harness: GatewayHarness): void {
  for (const stats of harness.state.gateway!.runnerStats.values()) {
    stats.load = {
      running: 12,
      waiting: 12,
      at: harness.state.now,
      localInFlight: 0,
    };
  }
}

describe("a broken stream while groups are overloaded", () => {
  it("is resumed at a third group after the second one rejected it", () => {
    const harness = startChat(4);
    breakStream(harness);
    const effects = failAttempt(harness, "r1", {
      attempt: 2,
      outcome: "status_not_run",
    });
    const [third] = effectsOf(effects, "send_to_runner");
    expect(third).to.include({ attempt: 3, resumeAfter: "7" });
    expect(refusalOf(effects)).to.equal(undefined);
  });

  it("ends after a bounded number of rejections", () => {
    const harness = startChat(9);
    breakStream(harness);
    let last: Effect[] = [];
    let attempt = 2;
    while (refusalOf(last) === undefined) {
      last = failAttempt(harness, "r1", { attempt, outcome: "status_not_run" });
      attempt += 1;
    }
    expect(attempt - 1).to.equal(4);
    expect(refusalOf(last)?.verdict).to.equal("may_have_run");
  });

  it("is not run by more runners than the route allows", () => {
    const harness = startChat(4);
    breakStream(harness);
    const effects = failAttempt(harness, "r1", {
      attempt: 2,
      outcome: "body_cut_off",
    });
    expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
  });

  it("waits for a free slot, and is resumed in the first one", () => {
    const harness = startChat(2);
    startStream(harness);
    fillGroups(harness);
    const waiting = failAttempt(harness, "r1", { outcome: "body_cut_off" });
    expect(effectsOf(waiting, "send_to_runner")).to.deep.equal([]);
    expect(refusalOf(waiting)).to.equal(undefined);
    harness.advance(500);
    for (const stats of harness.state.gateway!.runnerStats.values()) {
      stats.load = undefined;
    }
    const [again] = effectsOf(harness.advance(100), "send_to_runner");
    expect(again).to.include({ request: "r1", resumeAfter: "7" });
  });

  it("is ended where no slot is free before its caller leaves, after two seconds of silence", () => {
    const harness = startChat(1);
    breakStream(harness);
    expect(refusalOf(harness.advance(1_800))).to.equal(undefined);
    expect(refusalOf(harness.advance(200))?.verdict).to.equal("may_have_run");
  });
});

describe("a broken stream while the retry budget is empty", () => {
  function breakWithoutRetries(): GatewayHarness {
    const harness = startChat(3);
    const budget = harness.state.gateway!.retryBudgets.get("llm")!;
    budget.level = 0;
    startStream(harness);
    budget.level = 0;
    return harness;
  }

  // Guards against long answers that were cut off near their end for want of one retry (issue 63).
  it("waits for a retry and is resumed with it, where its caller still waits", () => {
    const harness = breakWithoutRetries();
    const effects = failAttempt(harness, "r1", { outcome: "body_cut_off" });
    expect(refusalOf(effects)).to.equal(undefined);
    expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
    harness.advance(100);
    const budget = harness.state.gateway!.retryBudgets.get("llm")!;
    budget.level = 1;
    const [again] = effectsOf(harness.advance(100), "send_to_runner");
    expect(again).to.include({ request: "r1", resumeAfter: "7" });
    expect(budget.level).to.be.lessThan(1);
  });

  it("gets the next retry before a request that has not begun", () => {
    const harness = breakWithoutRetries();
    sendRequest(harness, "r2", { path: "/chat/1", model: "small" });
    failAttempt(harness, "r1", { outcome: "body_cut_off" });
    const budget = harness.state.gateway!.retryBudgets.get("llm")!;
    budget.level = 1;
    const effects = [
      ...failAttempt(harness, "r2", { outcome: "status_not_run" }),
      ...harness.advance(100),
    ];
    const sent = effectsOf(effects, "send_to_runner").map(({ request }) =>
      request
    );
    expect(sent).to.deep.equal(["r1"]);
  });

  it("is ended where no retry is left before its caller leaves", () => {
    const harness = breakWithoutRetries();
    failAttempt(harness, "r1", { outcome: "body_cut_off" });
    const budget = harness.state.gateway!.retryBudgets.get("llm")!;
    let refusal = undefined as ReturnType<typeof refusalOf>;
    for (let ms = 0; ms < 2_000; ms += 50) {
      budget.level = 0;
      refusal ??= refusalOf(harness.advance(50));
    }
    expect(refusal?.verdict).to.equal("may_have_run");
  });
});
