import { expect } from "chai";
import { batchDelayOf } from "./batch_delay.ts";

const SETTINGS = {
  gatherMs: 200,
  gatherMsPerRunner: 5,
  maxGatherMs: 1_500,
  plannerGatherMs: 40,
  plannerGatherMsPerRunner: 0.5,
  maxPlannerGatherMs: 120,
};
const READS_PER_SECOND = 6_000;

describe("batch delay of the runner list", () => {
  it("is the minimum for a small fleet", () => {
    const delay = batchDelayOf(SETTINGS, { runners: 20, isPlanner: false });
    expect(delay).to.equal(SETTINGS.gatherMs);
  });

  it("grows with the number of runners", () => {
    const delay = batchDelayOf(SETTINGS, { runners: 200, isPlanner: false });
    expect(delay).to.equal(1_000);
  });

  it("keeps 950 daemons with 3,100 runners within a fifth of the store's read capacity", () => {
    const delay = batchDelayOf(SETTINGS, { runners: 3_100, isPlanner: false });
    expect(950 * 1_000 / delay).to.be.below(READS_PER_SECOND / 5);
  });

  it("has its own values for the planner, which stay small at any fleet size", () => {
    const delayOf = (runners: number) =>
      batchDelayOf(SETTINGS, { runners, isPlanner: true });
    expect(delayOf(20)).to.equal(SETTINGS.plannerGatherMs);
    expect(delayOf(160)).to.equal(80);
    expect(delayOf(3_100)).to.equal(SETTINGS.maxPlannerGatherMs);
  });
});
