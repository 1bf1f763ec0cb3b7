import { expect } from "chai";
import type { Outcome } from "../verdict/types.ts";
import {
  createDocument,
  createHarness,
  createRoute,
  createRunner,
  effectsOf,
  failAttempt,
  type GatewayHarness,
  publish,
  refusalOf,
  sendRequest,
} from "./test_fixture.ts";

function startDesk(count = 3): GatewayHarness {
  const harness = createHarness();
  const runners = Array.from(
    { length: count },
    (_, index) => createRunner(`desk-${index}`),
  );
  publish(harness, { runners });
  return harness;
}

describe("requests by kind of route", () => {
  it("sends a request to a runner with its team and its remaining time", () => {
    const harness = startDesk();
    const [send] = effectsOf(
      sendRequest(harness, "r1", { deadlineMs: 500 }),
      "send_to_runner",
    );
    expect(send).to.include({ team: "team-a", remainingMs: 500, attempt: 1 });
  });

  it("limits the remaining time to the timeout of the route", () => {
    const harness = startDesk();
    const [send] = effectsOf(
      sendRequest(harness, "r1", { deadlineMs: 60_000 }),
      "send_to_runner",
    );
    expect(send!.remainingMs).to.equal(800);
  });

  const failures: [Outcome, number, string | undefined][] = [
    ["connect_refused", 1, undefined],
    ["connect_timeout", 1, undefined],
    ["reset_before_send", 1, undefined],
    ["request_unwritable", 0, "not_run"],
    ["status_not_run", 0, "not_run"],
    ["reset_after_send", 0, "may_have_run"],
    ["response_timeout", 0, "may_have_run"],
    ["body_cut_off", 0, "may_have_run"],
    ["foreign_answer", 0, "may_have_run"],
  ];
  for (const [outcome, resends, verdict] of failures) {
    it(`resends a non-idempotent request or reports the right verdict after ${outcome}`, () => {
      const harness = createHarness();
      const booking = createRoute({
        name: "book",
        prefix: "/book/",
        kind: "non_idempotent",
        maxAttempts: 1,
      });
      publish(harness, {
        runners: [createRunner("desk-0"), createRunner("desk-1")],
        document: createDocument({ routes: [booking] }),
      });
      sendRequest(harness, "r1", { path: "/book/1" });
      const effects = failAttempt(harness, "r1", { outcome });
      expect(effectsOf(effects, "send_to_runner")).to.have.length(resends);
      expect(refusalOf(effects)?.verdict).to.equal(verdict);
    });
  }

  it("never resends a non-idempotent request that may have run, even where attempts are left", () => {
    const harness = startDesk();
    sendRequest(harness, "r1", { path: "/book/1" });
    const effects = failAttempt(harness, "r1", { outcome: "reset_after_send" });
    expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
    expect(refusalOf(effects)).to.include({ verdict: "may_have_run" });
  });

  it("resends an idempotent request to another runner, up to the maximum number of attempts", () => {
    const harness = startDesk();
    const [first] = effectsOf(sendRequest(harness, "r1"), "send_to_runner");
    const second = failAttempt(harness, "r1", { outcome: "reset_after_send" });
    const [again] = effectsOf(second, "send_to_runner");
    expect(again!.runner).not.to.equal(first!.runner);
    const last = failAttempt(harness, "r1", {
      attempt: 2,
      outcome: "body_cut_off",
    });
    expect(effectsOf(last, "send_to_runner")).to.deep.equal([]);
    expect(refusalOf(last)?.verdict).to.equal("may_have_run");
  });

  it("relays a runner's error response once no attempt is left", () => {
    const harness = startDesk(1);
    sendRequest(harness, "r1");
    const effects = harness.feed({
      kind: "response_ended",
      request: "r1",
      attempt: 1,
      status: 500,
      verdict: "may_have_run",
      isRelayable: true,
    });
    expect(effectsOf(effects, "relay")).to.have.length(1);
    expect(effectsOf(effects, "refuse")).to.deep.equal([]);
  });

  it("refuses a request at the timeout of the route, as may have run where it was sent", () => {
    const harness = startDesk();
    sendRequest(harness, "r1", { path: "/book/1" });
    const effects = harness.advance(900);
    expect(effectsOf(effects, "cancel")).to.have.length(1);
    expect(refusalOf(effects)).to.include({
      code: "deadline_passed",
      verdict: "may_have_run",
    });
  });

  it("refuses a request as not run at its timeout where it is still connecting", () => {
    const harness = createHarness({}, { canConnect: false });
    publish(harness, { runners: [createRunner("desk-0")] });
    sendRequest(harness, "r1", { path: "/book/1" });
    const effects = harness.advance(900);
    expect(effectsOf(effects, "cancel")).to.have.length(1);
    expect(refusalOf(effects)).to.include({
      code: "deadline_passed",
      verdict: "not_run",
    });
  });

  it("cancels the attempt as soon as the caller closes the connection", () => {
    const harness = startDesk();
    sendRequest(harness, "r1");
    const effects = harness.feed({
      kind: "routed_request_closed",
      request: "r1",
    });
    expect(effectsOf(effects, "cancel")).to.have.length(1);
    expect(harness.state.gateway!.requests.size).to.equal(0);
  });

  it("ignores the response of an attempt that has already failed", () => {
    const harness = startDesk();
    sendRequest(harness, "r1");
    failAttempt(harness, "r1", { outcome: "reset_after_send" });
    const effects = harness.feed({
      kind: "response_ended",
      request: "r1",
      attempt: 1,
      status: 200,
      verdict: "ran",
      isRelayable: false,
    });
    expect(effects).to.deep.equal([]);
  });
});

describe("retry budget", () => {
  it("limits the retries while most requests fail", () => {
    const harness = startDesk(3);
    let repeats = 0;
    for (let index = 0; index < 200; index += 1) {
      sendRequest(harness, `r${index}`);
      const effects = failAttempt(harness, `r${index}`, {
        outcome: "reset_after_send",
      });
      repeats += effectsOf(effects, "send_to_runner").length;
      harness.advance(50);
      for (const stats of harness.state.gateway!.runnerStats.values()) {
        stats.avoidUntil = 0;
      }
    }
    expect(repeats).to.be.at.most(200 * 0.2 + 109 / 12 + 1);
    expect(repeats).to.be.at.least(20);
  });

  it("limits this daemon's part of the common slack to an equal one of all daemons", () => {
    const harness = startDesk(3);
    const { readSharing } = harness.state.gateway!;
    readSharing.fleetSize = { count: 950, position: 500 };
    let repeats = 0;
    for (let index = 0; index < 100; index += 1) {
      sendRequest(harness, `r${index}`);
      const effects = failAttempt(harness, `r${index}`, {
        outcome: "reset_after_send",
      });
      repeats += effectsOf(effects, "send_to_runner").length;
      for (const stats of harness.state.gateway!.runnerStats.values()) {
        stats.avoidUntil = 0;
      }
    }
    expect(repeats).to.be.at.most(100 * 0.2 + 109 / 950);
  });
});
