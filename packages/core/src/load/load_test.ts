import { expect } from "chai";
import { occupancyOf } from "../gateway/occupancy.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import {
  createDocument,
  createHead,
  createRoute,
  effectsOf,
  ENGINE,
} from "../gateway/test_fixture.ts";
import type { CapacityPolicy, RoutingDocument } from "../gateway/types.ts";
import {
  createFleet,
  type SimulatedDaemon,
  type SimulatedFleet,
} from "../read_sharing/test_fleet.ts";
import { reportAgeMs } from "./figures.ts";
import { createLoad, type SimulatedLoad } from "./test_load.ts";

const STEP_MS = 10;
const SLOTS = 21;
const HOLD_MS = 1_500;

/** Creates a configuration with two streaming routes, of equal priority where load reports are to be shared. */
function createPolicy(policy: CapacityPolicy): RoutingDocument {
  const routes = ["chat", "talk"].map((name, index) =>
    createRoute({
      name,
      prefix: `/${name}/`,
      kind: "stream",
      timeoutMs: 8_000,
      targetLatencyMs: 400,
      priority: policy === "shared" ? 0 : index,
      backends: [{ service: "llm", weight: 1 }],
    })
  );
  return createDocument({
    version: 2,
    routes,
    services: [{ name: "llm", engine: { ...ENGINE, slots: SLOTS } }],
  });
}

interface Scenario {
  fleet: SimulatedFleet;
  load: SimulatedLoad;
}

/** Starts daemons and groups in each availability zone. */
function start(
  daemons: Readonly<Record<string, number>>,
  { groups, policy = "shared", holdMs = HOLD_MS }: {
    groups: number;
    policy?: CapacityPolicy;
    holdMs?: number;
  },
): Scenario {
  const fleet = createFleet(daemons, { stepMs: STEP_MS });
  for (const { harness, entry } of fleet.daemons) {
    harness.state.gateway!.zone = entry.zone;
  }
  fleet.store.document = createPolicy(policy);
  fleet.store.runners = Object.keys(daemons).flatMap((zone) =>
    Array.from(
      { length: groups },
      (_, index) => createHead(`${zone}-head-${index}`, { zone }),
    )
  );
  fleet.store.position.offset = 2;
  fleet.advance(3_000);
  const load = createLoad(fleet, { slots: SLOTS, holdMs, stepMs: STEP_MS });
  return { fleet, load };
}

const mean = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Returns by how much the estimates of daemons without a request at a group differ at most, in the mean over the groups. */
function meanSpread({ fleet, load }: Scenario): number {
  return mean(load.runners.map(({ runner }) => {
    const estimates = fleet.daemons.flatMap(({ harness: { state } }) => {
      const stats = runnerStatsOf(state.gateway!, runner.id);
      if (stats.inFlight > 0) return [];
      return [occupancyOf(state.gateway!, { runner, stats }, state.now)];
    });
    return Math.max(...estimates) - Math.min(...estimates);
  }));
}

/** Returns the mean age of the newest report of each group at each daemon, ms. */
function meanReportAge({ fleet }: Scenario): number {
  return mean(
    fleet.daemons.map(({ harness: { state } }) =>
      reportAgeMs(state.gateway!, state.now)!
    ),
  );
}

/** Returns the load reports in the messages of a daemon. */
function sharedBy({ harness: { effects } }: SimulatedDaemon) {
  return [
    ...effectsOf(effects, "send_to_upstream"),
    ...effectsOf(effects, "send_to_followers"),
  ].flatMap(({ message }) =>
    message.kind === "limits" && message.loads !== undefined
      ? [message.loads]
      : []
  );
}

describe("daemons that each see few requests share one view", () => {
  // Guards against daemons that hear from a group every few seconds only, and take a full group for an empty one.
  it("of the load of the groups, that is some hundred milliseconds old", () => {
    const scenario = start({ a: 24 }, { groups: 12 });
    scenario.load.run(8_000, () => 3);
    expect(meanReportAge(scenario)).to.be.below(600);
    expect(meanSpread(scenario)).to.be.below(2);
  });

  // Guards against a message for each request, which the processor time of an entry VM does not allow.
  it("with few and small messages", () => {
    const { fleet, load } = start({ a: 24 }, { groups: 12 });
    load.run(8_000, () => 3);
    const [reader] = fleet.readers();
    const published = sharedBy(reader!);
    expect(published.length).to.be.within(40, 81);
    expect(Math.max(...published.map(({ length }) => length))).to.be.at.most(
      12,
    );
    for (const follower of fleet.daemons) {
      if (follower === reader) continue;
      expect(sharedBy(follower).length).to.be.below(8 * 3 * 2);
    }
  });

  // Guards against any change to deployments whose services are of the policy "local".
  it("not where the policy of the service is local", () => {
    const { fleet, load } = start({ a: 12 }, { groups: 12, policy: "local" });
    load.run(4_000, () => 3);
    expect(load.sent).to.be.above(100);
    expect(fleet.daemons.flatMap(sharedBy)).to.deep.equal([]);
  });

  // Guards against requests to ever new groups, each of which takes a new connection.
  it("and keep to a few groups each, so that connections are used again", () => {
    const { load } = start({ a: 24 }, { groups: 12 });
    load.run(5_000, () => 3);
    const { newConnections, sent } = load;
    load.run(10_000, () => 3);
    const share = (load.newConnections - newConnections) / (load.sent - sent);
    expect(share).to.be.below(0.3);
  });
});

describe("stale reports and many daemons", () => {
  // Guards against daemons that all send to the group that was least loaded some hundred milliseconds ago: with that
  // rule most requests of this test come to a group without a free slot.
  it("make no herd on the least loaded group", () => {
    const { load } = start({ a: 40 }, { groups: 12 });
    load.run(6_000, () => 3);
    const { queued, sent } = load;
    load.run(12_000, () => 3);
    expect((load.queued - queued) / (load.sent - sent)).to.be.below(0.1);
    expect(load.refusals).to.equal(0);
  });
});

describe("traffic of one zone doubles while the other zones have room", () => {
  // Guards against a zone that refuses or queues its requests beside idle groups, and against traffic between zones
  // that is not needed.
  it("and is served there, without overload of theirs", () => {
    const { load } = start({ a: 8, b: 8, c: 8 }, { groups: 4 });
    load.run(6_000, () => 4);
    expect(load.crossings / load.sent).to.be.below(0.1);
    const { queued, sent } = load;
    load.run(8_000, ({ entry }) => entry.zone === "a" ? 8 : 4);
    expect(load.refusals).to.equal(0);
    expect((load.queued - queued) / (load.sent - sent)).to.be.below(0.12);
  });
});

describe("one slow runner among twelve", () => {
  const SLOWDOWN = 6;

  function startSlow(): Scenario {
    const scenario = start({ a: 24 }, { groups: 12 });
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
    const slow = fleet.daemons.flatMap(({ harness: { effects } }) =>
      effectsOf(effects, "log").filter(({ event }) => event === "runner_slow")
        .map(({ fields }) => fields["runner"])
    );
    expect(new Set(slow)).to.deep.equal(new Set(["a-head-0"]));
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

describe("a daemon of the earlier build, which neither sends nor reads load reports,", () => {
  /** Runs load on daemons of which some are of the earlier build; returns their mean ages of reports, ms. */
  function runMixed(isEarlier: (node: string, reader: string) => boolean) {
    const scenario = start({ a: 12 }, { groups: 4 });
    const { fleet, load } = scenario;
    const reader = fleet.readers()[0]!.entry.node;
    for (const daemon of fleet.daemons) {
      daemon.isEarlierBuild = isEarlier(daemon.entry.node, reader);
    }
    load.run(8_000, () => 3);
    expect(load.refusals).to.equal(0);
    expect(load.sent).to.be.above(200);
    const ageOf = (isEarlierBuild: boolean) =>
      meanReportAge({
        ...scenario,
        fleet: {
          ...fleet,
          daemons: fleet.daemons.filter((daemon) =>
            daemon.isEarlierBuild === isEarlierBuild
          ),
        },
      });
    return { load, ageOf };
  }

  // Guards against an upgrade in which daemons of both builds run side by side for a while.
  it("works beside new ones where it follows", () => {
    const { ageOf } = runMixed((node, reader) =>
      node !== reader && Number(node.slice(2)) % 2 === 0
    );
    expect(ageOf(false)).to.be.below(800);
  });

  // Guards against daemons that wait for reports which nobody passes on.
  it("works beside new ones where they follow it: each uses its own reports", () => {
    const { ageOf, load } = runMixed((node, reader) => node === reader);
    expect(ageOf(false)).to.be.above(800);
    expect(load.queued / load.sent).to.be.below(0.1);
  });
});
