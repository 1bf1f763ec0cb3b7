import { expect } from "chai";
import { gatherMsOf } from "./reading_pace.ts";

const PACE = {
  gatherMs: 200,
  gatherMsPerRunner: 5,
  maxGatherMs: 1_500,
  plannerGatherMs: 40,
};
const READS_PER_SECOND = 6_000;

describe("batch delay of the runner list", () => {
  it("is the minimum for a small fleet", () => {
    const gather = gatherMsOf(PACE, { runners: 20, isPlanner: false });
    expect(gather).to.equal(PACE.gatherMs);
  });

  it("grows with the number of runners", () => {
    const gather = gatherMsOf(PACE, { runners: 200, isPlanner: false });
    expect(gather).to.equal(1_000);
  });

  it("keeps 950 daemons with 3,100 runners within a fifth of the store's read capacity", () => {
    const gather = gatherMsOf(PACE, { runners: 3_100, isPlanner: false });
    expect(950 * 1_000 / gather).to.be.below(READS_PER_SECOND / 5);
  });

  it("has its own value for the planner at any fleet size", () => {
    const gather = gatherMsOf(PACE, { runners: 3_100, isPlanner: true });
    expect(gather).to.equal(PACE.plannerGatherMs);
  });
});
