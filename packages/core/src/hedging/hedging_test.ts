import { expect } from "chai";
import { retryBudgetOf } from "../gateway/retry_allowance.ts";
import { effectsOf, sendRequest } from "../gateway/test_fixture.ts";
import { MAX_SAVED_HEDGES, MIN_OBSERVATIONS } from "./constants.ts";
import {
  answer,
  createGatewayUnderTest,
  denialsOf,
  FAST_MS,
  HEDGING,
  observeFastRequests,
  sendsOf,
  SLOW_MS,
} from "./test_hedging.ts";

describe("hedged requests", () => {
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
