import { expect } from "chai";
import fc from "fast-check";
import {
  createDocument,
  createDomain,
  createHarness,
  effectsOf,
  ENGINE,
  publish,
} from "../gateway/test_fixture.ts";
import type { Model, Runner } from "../gateway/types.ts";
import { groupName, modelOfGroup } from "./group_view.ts";
import { createSimulatedPool, openGroups } from "./test_pool.ts";

describe("layout at the first start", () => {
  it("keeps all domains but one to a single model and its spares, although runners are listed one by one", () => {
    const harness = createHarness({ firstStart: true });
    publish(harness);
    const all = [0, 1, 2, 3].flatMap((index) => createDomain(`d${index}`, 10));
    const pool = createSimulatedPool(harness, { runners: [] });
    const order = all.map((_, index) => all[(index * 7) % all.length]!);
    for (const runner of order) {
      pool.add(runner);
      pool.run(50);
    }
    pool.run(20_000);
    const mixed = ["d0", "d1", "d2", "d3"].filter((domain) => {
      const models = [...pool.runners.values()]
        .filter((each) => each.domain === domain)
        .map(({ staged }) => staged[0]);
      return new Set(models).size > 1;
    });
    expect(mixed.length).to.be.at.most(1);
  });
});

function startPool(
  { domains = 1, size = 10, isLeader }: {
    domains?: number;
    size?: number;
    isLeader?: () => boolean;
  } = {},
) {
  const runners = Array.from(
    { length: domains },
    (_, index) => createDomain(`d${index}`, size),
  ).flat();
  const harness = createHarness();
  publish(harness, { runners });
  const pool = createSimulatedPool(harness, { runners, isLeader });
  return { harness, pool };
}

const sizeOf = (group: string) => group.startsWith("large:") ? 4 : 2;

describe("group planner", () => {
  it("fills a domain with whole groups of both models", () => {
    const { pool } = startPool();
    pool.run(20_000);
    const groups = openGroups(pool);
    expect(groups.filter((name) => name.startsWith("large:"))).to.have.length(
      1,
    );
    expect(groups.filter((name) => name.startsWith("small:"))).to.have.length(
      3,
    );
    expect(pool.violations).to.deep.equal([]);
  });

  it("begins no more weight loads than the weight store allows in any five seconds", () => {
    const { pool } = startPool({ domains: 6 });
    pool.run(150_000);
    expect(pool.weightLoads).to.have.length(60);
    for (const start of pool.weightLoads) {
      const window = pool.weightLoads.filter((at) =>
        at >= start && at < start + 5_000
      );
      expect(window.length).to.be.at.most(5 * 5 * 1.1 + 3);
    }
  });

  it("replaces a lost member by a runner that holds the weights, and keeps the group's name", () => {
    const { harness, pool } = startPool({ size: 11 });
    pool.run(40_000);
    const group = openGroups(pool).find((name) => name.startsWith("large:"))!;
    const member = [...pool.runners.values()].find(({ membership }) =>
      membership?.group === group && membership.rank === 2
    )!;
    pool.kill(member.id);
    pool.run(2_500);
    expect(openGroups(pool)).to.include(group);
    expect(pool.violations).to.deep.equal([]);
    expect(
      effectsOf(harness.effects, "order_runner").some(({ order }) =>
        order.action === "close"
      ),
    ).to.equal(false);
  });

  // Guards against a finding of the review (issue 39, class 6): such a member was in no plan any more.
  it("plans again for a member that was presumed dead and comes back in its old epoch", () => {
    const { pool } = startPool({ domains: 1, size: 12 });
    pool.run(20_000);
    const member = [...pool.runners.values()].find(({ membership }) =>
      membership?.rank === 1
    )!;
    const { epoch: oldEpoch } = member.membership!;
    pool.kill(member.id);
    pool.run(20_000);
    pool.revive(member.id);
    pool.run(20_000);
    const { membership } = pool.runners.get(member.id)!;
    const isStranded = membership?.epoch === oldEpoch;
    expect(isStranded).to.equal(false);
    expect(pool.violations).to.deep.equal([]);
  });

  // Guards against groups that were all broken up at once, since some members were only cut off from the store
  // (issue 63).
  it("keeps a group open whose member is no longer listed, as long as the member passes health checks", () => {
    const { harness, pool } = startPool({ size: 11 });
    pool.run(40_000);
    const group = openGroups(pool).find((name) => name.startsWith("large:"))!;
    const member = [...pool.runners.values()].find(({ membership }) =>
      membership?.group === group && membership.rank === 2
    )!;
    const { epoch } = member.membership!;
    pool.unlist(member.id);
    pool.run(5_000);
    const head = () =>
      [...pool.runners.values()].find(({ membership }) =>
        membership?.group === group && membership.rank === 0
      )!;
    expect(head().membership).to.include({ epoch, state: "open" });
    pool.kill(member.id);
    pool.run(2_500);
    expect(head().membership).to.include({ state: "open" });
    expect(head().membership!.epoch).to.be.greaterThan(epoch);
    expect(pool.violations).to.deep.equal([]);
    const orders = effectsOf(harness.effects, "order_runner");
    expect(orders.some(({ order }) => order.action === "close")).to.equal(
      false,
    );
  });

  it("repairs a group whose head is no longer listed, since it may get no more requests", () => {
    const { pool } = startPool({ size: 11 });
    pool.run(40_000);
    const group = openGroups(pool).find((name) => name.startsWith("large:"))!;
    const head = [...pool.runners.values()].find(({ membership }) =>
      membership?.group === group && membership.rank === 0
    )!;
    pool.unlist(head.id);
    pool.run(2_500);
    const heads = [...pool.runners.values()].filter(({ id, membership }) =>
      id !== head.id && membership?.group === group &&
      membership.state === "open"
    );
    expect(heads).to.have.length(1);
  });

  it("dissolves a group when no substitute is available, and forms groups of its survivors and others", () => {
    const { pool } = startPool({ size: 8 });
    pool.run(40_000);
    const victims = [...pool.runners.values()].filter(({ membership }) =>
      membership?.rank === 1
    );
    for (const { id } of victims) pool.kill(id);
    const before = openGroups(pool).length;
    pool.run(4_000);
    expect(before).to.equal(victims.length);
    for (const group of openGroups(pool)) {
      const members = [...pool.runners.values()].filter(({ id, membership }) =>
        membership?.group === group &&
        !victims.some((victim) => victim.id === id)
      );
      expect(members).to.have.length(sizeOf(group));
    }
    expect(pool.violations).to.deep.equal([]);
  });

  it("lets a group finish its requests before it replaces a member that leaves", () => {
    const { harness, pool } = startPool({ size: 11 });
    pool.run(40_000);
    const group = openGroups(pool).find((name) => name.startsWith("large:"))!;
    const member = [...pool.runners.values()].find(({ membership }) =>
      membership?.group === group && membership.rank === 2
    )!;
    pool.change(member.id, { state: "draining" });
    const from = effectsOf(harness.effects, "order_runner").length;
    pool.run(2_500);
    const [first, ...rest] = effectsOf(harness.effects, "order_runner").slice(
      from,
    );
    expect(first!.order).to.include({ action: "close", mode: "finish", group });
    expect(rest.some(({ order }) => order.action === "join")).to.equal(true);
    expect(openGroups(pool)).to.include(group);
    expect(pool.violations).to.deep.equal([]);
  });

  it("opens no group before every member is ready, even when orders are lost or carried out late", () => {
    const { pool } = startPool({ domains: 3 });
    for (let round = 0; round < 20; round += 1) {
      pool.delaysOrders = round % 3 === 1;
      pool.run(1_100);
      if (round % 4 === 3) pool.releaseOrders();
    }
    pool.delaysOrders = false;
    pool.releaseOrders();
    pool.run(20_000);
    expect(pool.violations).to.deep.equal([]);
    expect(openGroups(pool).length).to.be.at.least(8);
  });

  /** Returns the number of orders that follow the loss of a head, `silentMs` after leadership was last renewed. */
  function ordersAfterLoss({ silentMs }: { silentMs: number }): number {
    const { harness, pool } = startPool();
    pool.run(20_000);
    harness.advance(silentMs);
    const before = effectsOf(harness.effects, "order_runner").length;
    const head = [...pool.runners.values()].find(({ membership }) =>
      membership?.rank === 0
    )!;
    pool.kill(head.id, { isListed: false });
    harness.advance(200);
    return effectsOf(harness.effects, "order_runner").length - before;
  }

  it("sends no order once its last grant of leadership is a second old, where the store does not respond", () => {
    expect(ordersAfterLoss({ silentMs: 500 })).to.be.above(0);
    expect(ordersAfterLoss({ silentMs: 1_000 })).to.equal(0);
  });

  it("sends no order once another daemon is the leader", () => {
    let isLeader = true;
    const { harness, pool } = startPool({ isLeader: () => isLeader });
    pool.run(5_000);
    isLeader = false;
    pool.run(300);
    const before = effectsOf(harness.effects, "order_runner").length;
    pool.run(10_000);
    expect(effectsOf(harness.effects, "order_runner")).to.have.length(before);
  });

  it("sends every order under a higher fencing number than all earlier ones, across terms", () => {
    let isLeader = true;
    const { harness, pool } = startPool({ isLeader: () => isLeader });
    pool.run(3_000);
    isLeader = false;
    pool.run(2_000);
    isLeader = true;
    pool.run(10_000);
    const fences = effectsOf(harness.effects, "order_runner").map(({ fence }) =>
      fence
    );
    expect(fences).to.deep.equal(
      [...fences].sort((left, right) => left - right),
    );
    expect(new Set(fences).size).to.equal(fences.length);
    expect(fences.length).to.be.at.least(10);
  });

  it("ends its term when a runner has seen a higher fencing number", () => {
    const { harness, pool } = startPool();
    for (const { id } of pool.runners.values()) pool.fences.set(id, 2 ** 50);
    pool.run(1_000);
    const { leadership } = harness.state.gateway!.groupPlanner;
    expect(effectsOf(harness.effects, "begin_term").length).to.be.at.least(2);
    expect(leadership.term === undefined || leadership.term > 1).to.equal(true);
  });

  it("plans nothing while most members seem dead, since a fault of its own network is the likelier cause", () => {
    const { harness, pool } = startPool();
    pool.run(20_000);
    const before = effectsOf(harness.effects, "order_runner").length;
    for (const { id } of [...pool.runners.values()]) pool.kill(id);
    pool.run(5_000);
    expect(effectsOf(harness.effects, "order_runner")).to.have.length(before);
  });

  // Guards against a domain whose idle holders of a large model's weights wait for a runner that none adds (issue 66).
  it("drains a small group whose runners complete a large one, and opens the large one", () => {
    const { harness, pool } = startPool({ size: 10 });
    pool.run(40_000);
    const isLarge = (name: string) => name.startsWith("large:");
    for (const { id, membership, model } of pool.runners.values()) {
      const running = model === "large" ? 12 : 1;
      if (membership?.rank === 0) {
        pool.reports.set(id, { running, queued: 0 });
      }
    }
    pool.run(10_000);
    const member = [...pool.runners.values()].find(({ membership }) =>
      membership !== undefined && isLarge(membership.group) &&
      membership.rank === 2
    )!;
    pool.kill(member.id, { isListed: false });
    pool.run(1_000);
    expect(openGroups(pool).filter(isLarge)).to.have.length(0);
    pool.run(30_000);
    expect(openGroups(pool).filter(isLarge)).to.have.length(1);
    const closes = effectsOf(harness.effects, "order_runner").flatMap((
      { order },
    ) => order.action === "close" ? [order.mode] : []);
    expect(closes).to.include("finish");
    expect(pool.violations).to.deep.equal([]);
  });

  it("keeps serving at least half the groups when one of two domains is lost", () => {
    const { pool } = startPool({ domains: 2 });
    pool.run(20_000);
    const before = openGroups(pool).length;
    const lost = [...pool.runners.values()].filter(({ domain }) =>
      domain === "d0"
    );
    for (const { id } of lost) pool.kill(id, { isListed: false });
    pool.run(3_000);
    expect(openGroups(pool).length).to.be.below(before);
    expect(openGroups(pool).length).to.be.at.least(before / 2);
    expect(pool.violations).to.deep.equal([]);
  });
});

/** A model of two members, and one of four whose name begins with its name and a colon. */
const SIBLINGS: Model[] = [
  { name: "qwen", size: 2, share: 0.5, pace: 1, loadMs: 1_000 },
  { name: "qwen:72b", size: 4, share: 0.5, pace: 1, loadMs: 1_000 },
];

/** Starts a pool whose services have these models. */
function startServices(
  services: Record<string, Model[]>,
  runners: Runner[],
) {
  const harness = createHarness();
  const document = createDocument({
    services: Object.entries(services).map(([name, models]) => ({
      name,
      engine: { ...ENGINE, models },
    })),
  });
  publish(harness, { runners, document });
  return { harness, pool: createSimulatedPool(harness, { runners }) };
}

const domainsOf = (count: number) =>
  Array.from({ length: count }, (_, index) => createDomain(`d${index}`, 12))
    .flat();

describe("names of models, services and groups", () => {
  // Guards against case 5 of the review (PARTIAL): "qwen:72b" was taken for "qwen", and opened before all had joined.
  it("do not make a group one of the model named before the colon", () => {
    const { pool } = startServices({ llm: SIBLINGS }, domainsOf(3));
    const slow = new Set(
      [...pool.runners.keys()].filter((_, index) => index % 3 === 0),
    );
    pool.delaysOrdersTo = (id) => slow.has(id);
    for (let round = 0; round < 10; round += 1) {
      pool.run(2_000);
      pool.releaseOrders();
    }
    pool.delaysOrdersTo = () => false;
    pool.run(20_000);
    expect(pool.violations).to.deep.equal([]);
    const models = openGroups(pool).map(modelOfGroup);
    expect(models).to.include.members(["qwen", "qwen:72b"]);
  });

  // Guards against a model that is never served, since no model has the name before the colon.
  it("let a model be served whose name has a colon and no sibling", () => {
    const { pool } = startServices({ llm: [SIBLINGS[1]!] }, domainsOf(1));
    pool.run(20_000);
    expect(openGroups(pool).length).to.equal(3);
  });

  // Guards against groups of one service that are planned as those of another with a model of the same name.
  it("keep the groups of two services apart whose models have the same name", () => {
    const sizes = { llm: 2, vision: 4 };
    const services = Object.fromEntries(
      Object.entries(sizes).map(([name, size]) => [
        name,
        [{ ...SIBLINGS[0]!, size }],
      ]),
    );
    const runners = domainsOf(2).map((runner, index) => ({
      ...runner,
      service: index % 2 === 0 ? "llm" : "vision",
    }));
    const { pool } = startServices(services, runners);
    pool.run(20_000);
    expect(pool.violations).to.deep.equal([]);
    const open = [...pool.runners.values()].filter(({ membership }) =>
      membership?.state === "open"
    ).map(({ service }) => service);
    expect(open.filter((each) => each === "llm").length).to.equal(6);
    expect(open.filter((each) => each === "vision").length).to.equal(2);
  });

  it("are read back from a group's name as they were put in", () => {
    const model = fc.oneof(
      fc.string({ unit: fc.constantFrom(..."a:0\n"), minLength: 1 }),
      fc.string({ unit: "binary", minLength: 1 }),
    );
    fc.assert(
      fc.property(model, fc.nat(), fc.nat(), (name, term, count) => {
        expect(modelOfGroup(groupName(name, term, { count }))).to.equal(name);
      }),
    );
    expect(modelOfGroup("g7")).to.equal(undefined);
  });
});
