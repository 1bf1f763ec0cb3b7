import { expect } from "chai";
import { decideWait, type TimeBudget, waitWindowOf } from "./wait_decision.ts";

const BUDGET: TimeBudget = {
  arrivedAt: 1_000,
  expiresAt: 9_000,
  objectiveMs: 300,
  leastServiceMs: 50,
  serviceMs: 80,
  isStream: true,
};

describe("wait decision", () => {
  it("lets a request wait while its first event is expected within the objective", () => {
    const window = waitWindowOf(BUDGET);
    const decide = (expectedMs: number) =>
      decideWait(window, {
        now: 1_000,
        expectedMs,
        soonestMs: expectedMs,
        ahead: 1,
      });
    expect(decide(220)).to.equal("wait_in_time");
    expect(decide(221)).to.equal("wait_late");
    expect(decide(1_921)).to.equal("refuse");
    expect(decide(Infinity)).to.equal("refuse");
  });

  it("lets the next in line wait in time where others may leave what comes free", () => {
    const window = waitWindowOf(BUDGET);
    const options = { now: 1_000, expectedMs: 5_000, soonestMs: 90 };
    expect(decideWait(window, { ...options, ahead: 0 })).to.equal(
      "wait_in_time",
    );
    expect(decideWait(window, { ...options, ahead: 1 })).to.equal("refuse");
  });

  it("never lets a stream wait for longer than its caller stays, whatever its time budget", () => {
    for (const objectiveMs of [200, 400, 800]) {
      const { lateUntil } = waitWindowOf({
        ...BUDGET,
        objectiveMs,
        expiresAt: 61_000,
      });
      const patienceMs = Math.max(2_000, 4 * objectiveMs);
      expect(lateUntil).to.be.at.most(1_000 + patienceMs - BUDGET.serviceMs);
    }
  });

  it("lets no request wait beyond its deadline", () => {
    const { lateUntil } = waitWindowOf({ ...BUDGET, expiresAt: 1_200 });
    expect(lateUntil).to.be.at.most(1_200);
  });

  it("does not give up a route whose measured times exceed the objective", () => {
    // Every request of the route would be late from the start, and no measurement could ever show the contrary.
    const { inTimeUntil } = waitWindowOf({ ...BUDGET, serviceMs: 400 });
    expect(inTimeUntil).to.be.above(BUDGET.arrivedAt);
  });
});
