import { expect } from "chai";
import { measureRepair, sumWorlds } from "./benches.ts";

const SCHEDULES = 200;
const LOAD_MS = 20_000;

describe("planner under deaths, pauses past the lease, cuts and lost answers", () => {
  it("never has a VM in two groups, sends to a broken group, or has a past holder obeyed", () => {
    expect(sumWorlds(9_000, SCHEDULES)).to.deep.equal({
      inTwoGroups: 0,
      sentToBroken: 0,
      staleOrders: 0,
      unserved: 0,
    });
  });

  it("repairs a lone death within one member's load and 5 s", () => {
    expect(measureRepair()).to.be.at.most(LOAD_MS + 5_000);
  });
});
