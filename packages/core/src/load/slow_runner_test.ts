import { expect } from "chai";
import {
  loggedRunners,
  type Scenario,
  startScenario,
} from "./test_scenario.ts";

describe("one slow runner among twelve", () => {
  const SLOWDOWN = 6;

  function startSlow(): Scenario {
    const scenario = startScenario({ a: 24 }, { groups: 12 });
    scenario.load.runners[0]!.slowdown = SLOWDOWN;
    scenario.load.run(4_000, () => 3);
    return scenario;
  }

  // Guards against daemons that each have to find out about a slow runner at the cost of their own requests.
  it("gets little work once a few daemons have found it slow", () => {
    const { load } = startSlow();
    const before = load.runners[0]!.received;
    const { sent } = load;
    load.run(10_000, () => 3);
    const share = (load.runners[0]!.received - before) / (load.sent - sent);
    expect(share).to.be.below(0.25 / 12);
  });

  // Guards against one slow runner, or a wrong estimate of all, that makes others look slow.
  it("is the only one that is called slow", () => {
    const { fleet, load } = startSlow();
    load.run(10_000, () => 3);
    expect(loggedRunners(fleet, "runner_slow")).to.deep.equal(["a-head-0"]);
  });

  // Guards against a runner that stays without work after it has recovered.
  it("gets work again some time after it is as fast as the others", () => {
    const { load } = startSlow();
    load.run(4_000, () => 3);
    load.runners[0]!.slowdown = 1;
    load.run(20_000, () => 3);
    const before = load.runners[0]!.received;
    const { sent } = load;
    load.run(8_000, () => 3);
    const share = (load.runners[0]!.received - before) / (load.sent - sent);
    expect(share).to.be.above(0.3 / 12);
  });
});

describe("one failing runner among twelve", () => {
  // Guards against daemons that each have to fail at a runner again and again, at the cost of their own requests.
  it("gets little more than trial requests once several daemons have failed there", () => {
    const { fleet, load } = startScenario({ a: 24 }, { groups: 12 });
    load.runners[0]!.isFailing = true;
    load.run(5_000, () => 3);
    const before = load.runners[0]!.received;
    const { sent } = load;
    load.run(10_000, () => 3);
    const share = (load.runners[0]!.received - before) / (load.sent - sent);
    expect(share).to.be.below(0.25 / 12);
    expect(loggedRunners(fleet, "runner_ejected")).to.deep.equal(["a-head-0"]);
  });

  // Guards against a runner that stays ejected after it has recovered.
  it("gets its work again once its trial requests succeed", () => {
    const { load } = startScenario({ a: 24 }, { groups: 12 });
    load.runners[0]!.isFailing = true;
    load.run(5_000, () => 3);
    load.runners[0]!.isFailing = false;
    load.run(20_000, () => 3);
    const before = load.runners[0]!.received;
    const { sent } = load;
    load.run(8_000, () => 3);
    const share = (load.runners[0]!.received - before) / (load.sent - sent);
    expect(share).to.be.above(0.3 / 12);
  });
});
