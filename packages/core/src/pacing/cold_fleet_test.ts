import { expect } from "chai";
import fc from "fast-check";
import { SETTINGS } from "../gateway/test_fixture.ts";
import { coldBoundOf, coldRateOf } from "./shares.ts";
import {
  busiestSecond,
  COLD_START,
  type DaemonPlan,
  MAX_DELAY_MS,
  runColdFleet,
  RUNNER_STARTS_AT,
} from "./test_cold_fleet.ts";

const BOUND = coldBoundOf(COLD_START, SETTINGS);
const RATE = coldRateOf(COLD_START, SETTINGS);
const ENDS_AT = RUNNER_STARTS_AT + COLD_START.durationMs;
const NEVER = 1_000_000;
const RUNS = 50;

const STEADY: DaemonPlan = {
  startsAt: 0,
  leavesAt: NEVER,
  staysUp: false,
  cutFrom: NEVER,
  cutMs: 0,
  delays: [0, 40, 200, 20],
  losses: [false],
  isOnIsland: false,
};

function steadyFleet(count: number, changes: Partial<DaemonPlan> = {}) {
  return Array.from({ length: count }, () => ({ ...STEADY, ...changes }));
}

const time = fc.nat({ max: ENDS_AT });
const mostly = (value: number) =>
  fc.oneof(
    { arbitrary: fc.constant(value), weight: 2 },
    { arbitrary: time, weight: 1 },
  );
const change: fc.Arbitrary<DaemonPlan> = fc.record({
  startsAt: mostly(0),
  leavesAt: mostly(NEVER),
  staysUp: fc.boolean(),
  cutFrom: mostly(NEVER),
  cutMs: fc.nat({ max: ENDS_AT }),
  delays: fc.array(fc.nat({ max: MAX_DELAY_MS }), {
    minLength: 1,
    maxLength: 7,
  }),
  losses: fc.array(fc.boolean(), { minLength: 1, maxLength: 7 }),
  isOnIsland: fc.constant(false),
});
const salt = fc.nat({ max: 1_000_000 });

describe("daemons that send to a cold runner", () => {
  // Guards against a fleet whose daemons all count as owners, or none.
  it("use the rate of its owners, and no more", () => {
    const arrivals = runColdFleet(steadyFleet(14), {
      salt: 1,
      durationMs: ENDS_AT,
    });
    expect(busiestSecond(arrivals)).to.be.within(RATE * 0.8, RATE);
  });

  // Guards against the 47 requests in one second, where 44 were allowed, that a cold runner once got.
  it("keep the bound while the fleet changes and messages are lost, late and repeated", function () {
    let most = 0;
    fc.assert(
      fc.property(
        fc.array(change, { minLength: 6, maxLength: 24, size: "max" }),
        salt,
        (plans, salt) => {
          const arrivals = runColdFleet(plans, { salt, durationMs: ENDS_AT });
          most = Math.max(most, busiestSecond(arrivals));
          expect(busiestSecond(arrivals)).to.be.at.most(BOUND);
        },
      ),
      { numRuns: RUNS },
    );
    expect(most, "some fleet used its part").to.be.above(RATE / 2);
  });

  // Guards against owners that count on one view of the fleet where it is split in two that both know the runner.
  it("keep the bound while the fleet is split in two", () => {
    fc.assert(
      fc.property(salt, (salt) => {
        const plans = [
          ...steadyFleet(12),
          ...steadyFleet(12, { isOnIsland: true }),
        ];
        const arrivals = runColdFleet(plans, { salt, durationMs: ENDS_AT });
        expect(busiestSecond(arrivals)).to.be.within(RATE * 1.5, BOUND);
      }),
      { numRuns: 10 },
    );
  });

  // Guards against daemons that start together and each take themselves for an owner before they know each other.
  it("send nothing before they have known the fleet for a while", () => {
    const startsAt = RUNNER_STARTS_AT - 1_000;
    const arrivals = runColdFleet(steadyFleet(20, { startsAt }), {
      salt: 3,
      durationMs: ENDS_AT,
    });
    expect(arrivals).to.deep.equal([]);
  });

  // Guards against new daemons that become owners while the old ones, cut off, still are.
  it("keep the rate of one set of owners while those are cut off and many others start", () => {
    fc.assert(
      fc.property(salt, fc.nat({ max: 500 }), (salt, lateMs) => {
        const cutFrom = RUNNER_STARTS_AT + 1_000;
        const startsAt = cutFrom + lateMs;
        const plans = [
          ...steadyFleet(10, { cutFrom, cutMs: NEVER }),
          ...steadyFleet(20, { startsAt }),
        ];
        const arrivals = runColdFleet(plans, { salt, durationMs: ENDS_AT });
        expect(busiestSecond(arrivals)).to.be.at.most(RATE);
      }),
      { numRuns: 10 },
    );
  });
});
