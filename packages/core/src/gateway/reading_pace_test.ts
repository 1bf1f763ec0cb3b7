import { expect } from "chai";
import { gatherMsOf } from "./reading_pace.ts";

const PACE = {
  gatherMs: 200,
  gatherMsPerRunner: 5,
  maxGatherMs: 1_500,
  plannerGatherMs: 40,
};
const READS_PER_SECOND = 6_000;

describe("reading pace", () => {
  it("reads a small fleet's list at the least interval", () => {
    const gather = gatherMsOf(PACE, { runners: 20, isPlanner: false });
    expect(gather).to.equal(PACE.gatherMs);
  });

  it("takes in more changes at once the more runners there are", () => {
    const gather = gatherMsOf(PACE, { runners: 200, isPlanner: false });
    expect(gather).to.equal(1_000);
  });

  it("keeps 950 daemons before 3,100 runners within a fifth of the store's reads", () => {
    const gather = gatherMsOf(PACE, { runners: 3_100, isPlanner: false });
    expect(950 * 1_000 / gather).to.be.below(READS_PER_SECOND / 5);
  });

  it("lets the planner read at its own interval at any size", () => {
    const gather = gatherMsOf(PACE, { runners: 3_100, isPlanner: true });
    expect(gather).to.equal(PACE.plannerGatherMs);
  });
});
