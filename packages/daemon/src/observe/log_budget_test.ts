import { expect } from "chai";
import { createLogBudget, LOG_LIMITS } from "./log_budget.ts";

const LIMITS = { linesPerSecond: 10, burst: 5, maxUnreadBytes: 1_000 };

function countAllowed(
  budget: ReturnType<typeof createLogBudget>,
  lines: number,
  { now }: { now: number },
): number {
  let allowed = 0;
  for (let line = 0; line < lines; line += 1) {
    if (budget.tryAcquire("info", { now, unreadBytes: 0 })) allowed += 1;
  }
  return allowed;
}

describe("log budget", () => {
  it("allows a burst, then the average rate", () => {
    const budget = createLogBudget(LIMITS);
    expect(countAllowed(budget, 20, { now: 0 })).to.equal(5);
    expect(countAllowed(budget, 20, { now: 200 })).to.equal(2);
  });

  it("returns the number of dropped lines once", () => {
    const budget = createLogBudget(LIMITS);
    countAllowed(budget, 20, { now: 0 });
    expect(budget.resetDropped()).to.equal(15);
    expect(budget.resetDropped()).to.equal(0);
  });

  it("allows warnings and errors beyond the rate", () => {
    const budget = createLogBudget(LIMITS);
    countAllowed(budget, 20, { now: 0 });
    expect(budget.tryAcquire("warn", { now: 0, unreadBytes: 0 })).to.equal(
      true,
    );
    expect(budget.tryAcquire("error", { now: 0, unreadBytes: 0 })).to.equal(
      true,
    );
  });

  it("allows no line while the reader does not keep up", () => {
    const budget = createLogBudget(LIMITS);
    expect(budget.tryAcquire("error", { now: 0, unreadBytes: 1_001 })).to.equal(
      false,
    );
    expect(budget.tryAcquire("error", { now: 0, unreadBytes: 1_000 })).to.equal(
      true,
    );
  });

  it("allows every line of a daemon at the mean load of the target size", () => {
    const requestsPerSecond = 53_000 / 950;
    const linesPerRequest = 4;
    expect(LOG_LIMITS.linesPerSecond).to.be.above(
      requestsPerSecond * linesPerRequest,
    );
  });
});
