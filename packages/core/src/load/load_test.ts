import { expect } from "chai";
import { occupancyOf } from "../gateway/occupancy.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import { effectsOf } from "../gateway/test_fixture.ts";
import type { SimulatedDaemon } from "../read_sharing/test_fleet.ts";
import { reportAgeMs } from "./figures.ts";
import {
  loggedRunners,
  type Scenario,
  startScenario,
} from "./test_scenario.ts";

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
    const scenario = startScenario({ a: 24 }, { groups: 12 });
    scenario.load.run(8_000, () => 3);
    expect(meanReportAge(scenario)).to.be.below(600);
    expect(meanSpread(scenario)).to.be.below(2);
  });

  // Guards against a message for each request, which the processor time of an entry VM does not allow.
  it("with few and small messages", () => {
    const { fleet, load } = startScenario({ a: 24 }, { groups: 12 });
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
    const { fleet, load } = startScenario({ a: 12 }, {
      groups: 12,
      policy: "local",
    });
    load.run(4_000, () => 3);
    expect(load.sent).to.be.above(100);
    expect(fleet.daemons.flatMap(sharedBy)).to.deep.equal([]);
  });

  // Guards against requests to ever new groups, each of which takes a new connection.
  it("and keep to a few groups each, so that connections are used again", () => {
    const { load } = startScenario({ a: 24 }, { groups: 12 });
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
    const { load } = startScenario({ a: 40 }, { groups: 12 });
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
    const { fleet, load } = startScenario({ a: 8, b: 8, c: 8 }, { groups: 4 });
    load.run(6_000, () => 4);
    expect(load.crossings / load.sent).to.be.below(0.1);
    const { queued, sent } = load;
    load.run(8_000, ({ entry }) => entry.zone === "a" ? 8 : 4);
    expect(load.refusals).to.equal(0);
    expect((load.queued - queued) / (load.sent - sent)).to.be.below(0.12);
    // Full groups are not faulty ones.
    expect(loggedRunners(fleet, "runner_ejected")).to.deep.equal([]);
  });
});

describe("the loss of the daemon that passes load reports on", () => {
  // Guards against daemons that share nothing any more after one has failed.
  it("stops them until the others follow the next one", () => {
    const scenario = startScenario({ a: 12 }, { groups: 4 });
    const { fleet, load } = scenario;
    load.run(4_000, () => 3);
    const [reader] = fleet.readers();
    reader!.isUp = false;
    load.run(6_000, (daemon) => daemon.isUp ? 3 : 0);
    const living = fleet.daemons.filter(({ isUp }) => isUp);
    expect(meanReportAge({ ...scenario, fleet: { ...fleet, daemons: living } }))
      .to.be.below(800);
    expect(load.refusals).to.equal(0);
  });
});

describe("a daemon of the earlier build, which neither sends nor reads load reports,", () => {
  /** Runs load on daemons of which some are of the earlier build; returns their mean ages of reports, ms. */
  function runMixed(isEarlier: (node: string, reader: string) => boolean) {
    const scenario = startScenario({ a: 12 }, { groups: 4 });
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
