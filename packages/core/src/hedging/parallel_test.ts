import { expect } from "chai";
import {
  effectsOf,
  failAttempt,
  sendRequest,
} from "../gateway/test_fixture.ts";
import { MIN_OBSERVATIONS } from "./constants.ts";
import {
  answer,
  createGatewayUnderTest,
  FAST_MS,
  observeFastRequests,
  sendsOf,
  SLOW_MS,
} from "./test_hedging.ts";

describe("hedged requests", () => {
  describe("one slow runner among several", () => {
    it("sends a slow request to another runner, whose response wins", () => {
      const harness = createGatewayUnderTest();
      observeFastRequests(harness);
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      const [first, second] = sendsOf(harness, "slow");
      expect(second).to.include({ attempt: 2, isHedge: true });
      expect(second!.runner).to.not.equal(first!.runner);

      const effects = answer(harness, "slow", { attempt: 2 });
      expect(effectsOf(effects, "cancel")).to.deep.equal([
        { kind: "cancel", request: "slow", attempt: 1 },
      ]);
      expect(effectsOf(effects, "relay")).to.deep.equal([
        { kind: "relay", request: "slow", attempt: 2 },
      ]);
      expect(effectsOf(effects, "finish")).to.have.length(1);
    });

    it("gives the slot of the loser back and does not avoid its runner", () => {
      const harness = createGatewayUnderTest();
      observeFastRequests(harness);
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      const [first] = sendsOf(harness, "slow");
      answer(harness, "slow", { attempt: 2 });
      const stats = harness.state.gateway!.runnerStats;
      for (const { inFlight } of stats.values()) expect(inFlight).to.equal(0);
      const loser = stats.get(first!.runner)!;
      expect(loser.failures).to.equal(0);
      expect(loser.avoidUntil).to.be.at.most(harness.state.now);
    });

    it("cancels the second copy where the first one answers after all", () => {
      const harness = createGatewayUnderTest();
      observeFastRequests(harness);
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      const effects = answer(harness, "slow", { attempt: 1 });
      expect(effectsOf(effects, "cancel")).to.deep.equal([
        { kind: "cancel", request: "slow", attempt: 2 },
      ]);
    });

    it("ignores a response that comes after its attempt was cancelled", () => {
      const harness = createGatewayUnderTest();
      observeFastRequests(harness);
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      answer(harness, "slow", { attempt: 2 });
      expect(answer(harness, "slow", { attempt: 1 })).to.deep.equal([]);
    });

    it("relays the stream whose first event comes first, and no event of the other", () => {
      const harness = createGatewayUnderTest({
        route: { kind: "resumable_stream" },
      });
      const start = (request: string, attempt: number) =>
        harness.feed({
          kind: "response_started",
          request,
          attempt,
          status: 200,
          verdict: "ran",
          load: undefined,
        });
      const progress = (request: string, attempt: number) =>
        harness.feed({
          kind: "response_progressed",
          request,
          attempt,
          lastEvent: "1",
        });
      for (let index = 0; index < MIN_OBSERVATIONS; index++) {
        sendRequest(harness, `fast-${index}`);
        harness.advance(FAST_MS);
        start(`fast-${index}`, 1);
        progress(`fast-${index}`, 1);
        harness.feed({
          kind: "response_ended",
          request: `fast-${index}`,
          attempt: 1,
          status: 200,
          verdict: "ran",
          isRelayable: false,
        });
      }
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      expect(sendsOf(harness, "slow")).to.have.length(2);
      expect(effectsOf(start("slow", 1), "relay")).to.deep.equal([]);
      start("slow", 2);
      const effects = progress("slow", 2);
      expect(effectsOf(effects, "cancel")).to.deep.equal([
        { kind: "cancel", request: "slow", attempt: 1 },
      ]);
      expect(effectsOf(effects, "relay")).to.deep.equal([
        { kind: "relay", request: "slow", attempt: 2 },
      ]);
      expect(progress("slow", 1)).to.deep.equal([]);
    });

    it("goes on with the other attempt where one fails, without a retry", () => {
      const harness = createGatewayUnderTest();
      observeFastRequests(harness);
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      const outcome = "reset_after_send";
      failAttempt(harness, "slow", { attempt: 1, outcome });
      expect(sendsOf(harness, "slow")).to.have.length(2);
      const effects = answer(harness, "slow", { attempt: 2 });
      expect(effectsOf(effects, "finish")).to.have.length(1);
    });

    it("cancels both attempts at the deadline and does not call the request not run", () => {
      const harness = createGatewayUnderTest();
      observeFastRequests(harness);
      sendRequest(harness, "slow", { deadlineMs: 300 });
      const effects = harness.advance(300);
      expect(effectsOf(effects, "cancel").map(({ attempt }) => attempt))
        .to.have.members([1, 2]);
      expect(effectsOf(effects, "refuse")[0]).to.include({
        verdict: "may_have_run",
      });
      const { runnerStats } = harness.state.gateway!;
      for (const { inFlight } of runnerStats.values()) {
        expect(inFlight).to.equal(0);
      }
    });

    it("cancels both attempts where the caller leaves", () => {
      const harness = createGatewayUnderTest();
      observeFastRequests(harness);
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      const effects = harness.feed({
        kind: "routed_request_closed",
        request: "slow",
      });
      expect(effectsOf(effects, "cancel").map(({ attempt }) => attempt))
        .to.have.members([1, 2]);
    });
  });
});
