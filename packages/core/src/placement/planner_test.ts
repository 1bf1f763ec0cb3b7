import { expect } from "chai";
import {
  createDocument,
  createDomain,
  createHarness,
  effectsOf,
  ENGINE,
  type GatewayHarness,
  publish,
} from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import {
  createSimulatedPool,
  openGroups,
  type SimulatedPool,
} from "../formation/test_pool.ts";
import { evacuate } from "./test_zones.ts";

const MODEL = { name: "small", size: 2, share: 1, pace: 1, loadMs: 1_000 };
/** Fabric domains by zone: `d0` lies in the zone that is evacuated. */
const ZONE_OF: Readonly<Record<string, string>> = {
  d0: "suva-a",
  d1: "nausori-b",
};

function createEngines(domain: string, count: number): Runner[] {
  return createDomain(domain, count).map((runner) => ({
    ...runner,
    zone: ZONE_OF[domain]!,
  }));
}

function startPool(): { harness: GatewayHarness; pool: SimulatedPool } {
  const runners = [...createEngines("d0", 4), ...createEngines("d1", 4)];
  const harness = createHarness();
  const document = createDocument({
    services: [{ name: "llm", engine: { ...ENGINE, models: [MODEL] } }],
  });
  publish(harness, { runners, document });
  const pool = createSimulatedPool(harness, { runners });
  return { harness, pool };
}

/** Counts the groups of a domain that are open, without those of a head that was killed. */
function countOpen(
  { runners }: SimulatedPool,
  domain: string,
  { killed }: { killed?: string } = {},
): number {
  return [...runners.values()].filter((each) =>
    each.domain === domain && each.id !== killed &&
    each.membership?.state === "open"
  ).length;
}

/** Returns the runners of a domain that got orders since a number of effects. */
function orderedIn(
  { effects }: GatewayHarness,
  domain: string,
  { since }: { since: number },
): string[] {
  return effectsOf(effects.slice(since), "order_runner")
    .map(({ runner }) => runner).filter((id) => id.startsWith(`${domain}-`));
}

describe("group planner while a zone is evacuated", () => {
  // Guards against weights that are loaded, and groups that are formed, where no request may be sent.
  it("stages and forms nothing there, and goes on elsewhere", () => {
    const { harness, pool } = startPool();
    evacuate(harness, ["suva-a"]);
    pool.run(10_000);
    expect(orderedIn(harness, "d0", { since: 0 })).to.deep.equal([]);
    expect(countOpen(pool, "d1")).to.equal(2);
  });

  // Guards against groups that are dissolved, so that their streams break off.
  it("leaves the groups there as they are", () => {
    const { harness, pool } = startPool();
    pool.run(10_000);
    const groups = openGroups(pool);
    expect(groups).to.have.length(4);
    evacuate(harness, ["suva-a"]);
    pool.run(5_000);
    expect(openGroups(pool)).to.have.members(groups);
  });

  // Guards against a repair there, and against one that never happens.
  it("repairs a group there only once the evacuation is lifted", () => {
    const { harness, pool } = startPool();
    pool.run(10_000);
    pool.add(createEngines("d0", 5)[4]!);
    pool.run(3_000);
    evacuate(harness, ["suva-a"]);
    const since = harness.effects.length;
    pool.kill("d0-0");
    pool.run(6_000);
    expect(orderedIn(harness, "d0", { since })).to.deep.equal([]);
    evacuate(harness, [], { timeline: 1, offset: 2 });
    pool.run(6_000);
    expect(orderedIn(harness, "d0", { since })).to.not.deep.equal([]);
    expect(countOpen(pool, "d0", { killed: "d0-0" })).to.equal(2);
    expect(pool.violations).to.deep.equal([]);
  });

  // Guards against a planner that stands still everywhere since the runners of the zone are gone.
  it("goes on to repair elsewhere where all runners of the zone are dead", () => {
    const { harness, pool } = startPool();
    pool.run(10_000);
    evacuate(harness, ["suva-a"]);
    for (const index of [0, 1, 2, 3]) pool.kill(`d0-${index}`);
    pool.kill("d1-0");
    pool.add(createEngines("d1", 5)[4]!);
    pool.run(10_000);
    expect(countOpen(pool, "d1", { killed: "d1-0" })).to.equal(2);
  });

  it("goes on with health checks there", () => {
    const { harness, pool } = startPool();
    pool.run(10_000);
    evacuate(harness, ["suva-a"]);
    const since = harness.effects.length;
    pool.run(2_000);
    const checked = effectsOf(harness.effects.slice(since), "check_runner")
      .filter(({ runner }) => runner.startsWith("d0-"));
    expect(checked.length).to.be.above(0);
  });

  // Guards against a model that counts as well served by groups that get no requests.
  it("counts the groups there as no capacity", () => {
    const other = { ...MODEL, name: "tiny" };
    const harness = createHarness();
    const document = createDocument({
      services: [{
        name: "llm",
        engine: { ...ENGINE, models: [other, MODEL] },
      }],
    });
    const served = createEngines("d0", 2).map((runner, rank): Runner => ({
      ...runner,
      staged: ["small"],
      model: "small",
      membership: { group: "small:1:1", epoch: 1, rank, state: "open" },
    }));
    const others = createEngines("d1", 2).map((runner, rank): Runner => ({
      ...runner,
      staged: ["tiny"],
      model: "tiny",
      membership: { group: "tiny:1:2", epoch: 1, rank, state: "open" },
    }));
    const free = createEngines("d1", 4).slice(2);
    const runners = [...served, ...others, ...free];
    publish(harness, { runners, document });
    const pool = createSimulatedPool(harness, { runners });
    evacuate(harness, ["suva-a"]);
    pool.run(10_000);
    const staged = free.map(({ id }) => pool.runners.get(id)!.staged[0]);
    expect(staged).to.deep.equal(["small", "small"]);
  });
});
