import { expect } from "chai";
import {
  createDomain,
  createHarness,
  effectsOf,
  publish,
} from "../gateway/test_fixture.ts";
import { createSimulatedPool, openGroups } from "./test_pool.ts";

function startPool() {
  const runners = createDomain("d0", 11);
  const harness = createHarness();
  publish(harness, { runners });
  const pool = createSimulatedPool(harness, { runners });
  pool.run(40_000);
  return { harness, pool };
}

describe("spares of a group", () => {
  // Guards against repairs that wait for a spare to warm up, while the streams of their group are lost (issue 66).
  it("have been in a group of their model, which was never opened", () => {
    const { harness, pool } = startPool();
    const orders = effectsOf(harness.effects, "order_runner");
    const warmUps = orders.filter(({ order }) =>
      "group" in order && order.group.startsWith("warm-up/")
    );
    const free = [...pool.runners.values()].filter(({ membership }) =>
      membership === undefined
    );
    expect(free.length).to.be.above(0);
    for (const { id, staged, model } of free) {
      expect(model).to.equal(staged[0]);
      const own = warmUps.filter(({ runner }) => runner === id);
      expect(own.map(({ order }) => order.action)).to.deep.equal([
        "join",
        "leave",
      ]);
    }
    expect(warmUps.some(({ order }) => order.action === "open")).to.equal(
      false,
    );
    expect(pool.violations).to.deep.equal([]);
  });

  it("are not ordered to warm up again in a steady state", () => {
    const { harness, pool } = startPool();
    const before = effectsOf(harness.effects, "order_runner").length;
    pool.run(30_000);
    expect(effectsOf(harness.effects, "order_runner")).to.have.length(before);
  });

  it("replace a lost member also while they warm up", () => {
    const { pool } = startPool();
    const groups = openGroups(pool);
    const member = [...pool.runners.values()].find(({ membership }) =>
      membership?.group.startsWith("large:") && membership.rank === 1
    )!;
    const spare = [...pool.runners.values()].find(({ membership, staged }) =>
      membership === undefined && staged[0] === "large"
    )!;
    const group = `warm-up/${spare.id}`;
    pool.change(spare.id, {
      membership: { group, epoch: 1, rank: 0, state: "joining" },
    });
    pool.kill(member.id);
    pool.run(4_000);
    expect(openGroups(pool)).to.have.members(groups);
    expect(pool.violations).to.deep.equal([]);
  });
});
