import { expect } from "chai";
import { measureRepair, sumGroupViolations } from "./benches.ts";

const SCHEDULES = 200;
const WEIGHT_LOAD_MS = 20_000;

describe("group planner under VM deaths, pauses longer than the lease, disconnections from the log and lost append responses", () => {
  it("never puts a VM into two groups, sends a request to a broken group or applies an order of a past lease holder", () => {
    expect(sumGroupViolations(9_000, SCHEDULES)).to.deep.equal({
      inTwoGroups: 0,
      sentToBroken: 0,
      staleOrders: 0,
      unserved: 0,
    });
  });

  it("replaces a single dead VM within the weight load time of one member plus 5 s", () => {
    expect(measureRepair()).to.be.at.most(WEIGHT_LOAD_MS + 5_000);
  });
});
