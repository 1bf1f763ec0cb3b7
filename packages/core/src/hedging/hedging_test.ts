import { expect } from "chai";
import {
  createDocument,
  createHarness,
  createRoute,
  createRunner,
  effectsOf,
  failAttempt,
  type GatewayHarness,
  publish,
  sendRequest,
} from "../gateway/test_fixture.ts";
import { retryBudgetOf } from "../gateway/retry_allowance.ts";
import type { Route } from "../gateway/types.ts";
import { MAX_SAVED_HEDGES, MIN_OBSERVATIONS } from "./constants.ts";

const HEDGING = { maxShare: 0.1, percentile: 95 };
const FAST_MS = 50;
const SLOW_MS = 200;

interface Options {
  runners?: number;
  isHedging?: boolean;
  route?: Partial<Route>;
  seed?: number;
}

function createGatewayUnderTest(
  { runners = 4, isHedging = true, route = {}, seed = 1 }: Options = {},
): GatewayHarness {
  const harness = createHarness(isHedging ? { hedging: HEDGING } : {}, {
    seed,
    retries: 5,
  });
  publish(harness, {
    runners: Array.from(
      { length: runners },
      (_, index) =>
        createRunner(`desk-${index}`, { address: `10.0.0.${index + 1}:80` }),
    ),
    document: createDocument({
      routes: [createRoute({ timeoutMs: 5_000, ...route })],
    }),
  });
  return harness;
}

function answer(
  harness: GatewayHarness,
  request: string,
  { attempt = 1 }: { attempt?: number } = {},
) {
  harness.feed({
    kind: "response_started",
    request,
    attempt,
    status: 200,
    verdict: "ran",
    load: { running: 0, waiting: 0 },
  });
  return harness.feed({
    kind: "response_ended",
    request,
    attempt,
    status: 200,
    verdict: "ran",
    isRelayable: false,
  });
}

/** Serves enough fast requests for a delay to be known and hedged requests to be allowed. */
function observeFastRequests(harness: GatewayHarness): void {
  for (let index = 0; index < MIN_OBSERVATIONS; index++) {
    sendRequest(harness, `fast-${index}`);
    harness.advance(FAST_MS);
    answer(harness, `fast-${index}`);
  }
}

function sendsOf(harness: GatewayHarness, request: string) {
  return effectsOf(harness.effects, "send_to_runner").filter((each) =>
    each.request === request
  );
}

function denialsOf(harness: GatewayHarness, request: string) {
  return effectsOf(harness.effects, "log").filter(({ event, fields }) =>
    event === "hedge_denied" && fields.request === request
  ).map(({ fields }) => fields.cause);
}

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

  describe("limits", () => {
    it("sends no second copy where the settings do not ask for it", () => {
      const harness = createGatewayUnderTest({ isHedging: false });
      observeFastRequests(harness);
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      expect(sendsOf(harness, "slow")).to.have.length(1);
    });

    it("never sends a request a second time that may not be repeated", () => {
      const harness = createGatewayUnderTest({
        route: { kind: "non_idempotent" },
      });
      observeFastRequests(harness);
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      expect(sendsOf(harness, "slow")).to.have.length(1);
      expect(denialsOf(harness, "slow")).to.deep.equal(["not_eligible"]);
    });

    it("sends no second copy before enough times were observed", () => {
      const harness = createGatewayUnderTest();
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      expect(sendsOf(harness, "slow")).to.have.length(1);
    });

    it("leaves the last retries of the shared budget to retries after failures", () => {
      const harness = createGatewayUnderTest();
      observeFastRequests(harness);
      retryBudgetOf(harness.state.gateway!, "desk").level = 1;
      harness.state.gateway!.settings.retryRatio = 0;
      harness.state.gateway!.settings.retrySlack = 0;
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      expect(denialsOf(harness, "slow")).to.deep.equal(["retry_budget"]);
    });

    it("sends no second copy while the runners have little idle capacity", () => {
      const harness = createGatewayUnderTest({ runners: 2 });
      observeFastRequests(harness);
      const busy = { running: 6, waiting: 0 };
      for (const request of ["busy-1", "busy-2"]) {
        sendRequest(harness, request);
        harness.feed({
          kind: "response_started",
          request,
          attempt: 1,
          status: 200,
          verdict: "ran",
          load: busy,
        });
      }
      sendRequest(harness, "slow");
      harness.advance(SLOW_MS);
      expect(sendsOf(harness, "slow")).to.have.length(1);
    });

    it("keeps the sum over all daemons within the share of the requests", () => {
      const daemons = Array.from(
        { length: 5 },
        (_, seed) => createGatewayUnderTest({ runners: 8, seed: seed + 1 }),
      );
      let requests = 0;
      for (const [index, harness] of daemons.entries()) {
        observeFastRequests(harness);
        requests += MIN_OBSERVATIONS;
        for (let count = 0; count < 60; count++) {
          const request = `r-${index}-${count}`;
          sendRequest(harness, request);
          requests += 1;
          const isSlow = count % 3 === 0;
          harness.advance(isSlow ? SLOW_MS : FAST_MS);
          answer(harness, request);
        }
      }
      const hedged = daemons.flatMap(({ effects }) =>
        effectsOf(effects, "send_to_runner")
      ).filter(({ isHedge }) => isHedge);
      expect(hedged.length).to.be.above(daemons.length);
      expect(hedged.length).to.be.at.most(
        requests * HEDGING.maxShare + daemons.length * MAX_SAVED_HEDGES,
      );
    });
  });

  describe("all runners slow at once", () => {
    it("sends no second copies, which would make the overload last", () => {
      const harness = createGatewayUnderTest({ runners: 12 });
      observeFastRequests(harness);
      const before = effectsOf(harness.effects, "send_to_runner").length;
      for (let index = 0; index < 12; index++) {
        sendRequest(harness, `slow-${index}`);
      }
      harness.advance(SLOW_MS);
      const sends = effectsOf(harness.effects, "send_to_runner").slice(before);
      expect(sends.filter(({ isHedge }) => isHedge)).to.deep.equal([]);
      expect(denialsOf(harness, "slow-0")).to.deep.equal(["all_slow"]);
    });
  });
});
