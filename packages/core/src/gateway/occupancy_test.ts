import { expect } from "chai";
import { runnerStatsOf } from "./runner_stats.ts";
import { occupancyOf, recordLoad, recordWorkShare } from "./occupancy.ts";
import {
  createHarness,
  createHead,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "./test_fixture.ts";
import type { Gateway, Runner } from "./types.ts";

const CHAT = { path: "/chat/1", model: "small", deadlineMs: 8_000 };

function startGroups(
  heads: Runner[],
): { harness: GatewayHarness; gateway: Gateway } {
  const harness = createHarness();
  publish(harness, { runners: heads });
  return { harness, gateway: harness.state.gateway! };
}

/** Records a load report of a runner at a time. */
function report(
  gateway: Gateway,
  runner: Runner,
  { running, at }: { running: number; at: number },
): void {
  const load = { running, waiting: 0, at, localInFlight: 0 };
  runnerStatsOf(gateway, runner.id).load = load;
  recordLoad(gateway, runner, load);
}

function occupancy(gateway: Gateway, runner: Runner, now: number): number {
  return occupancyOf(
    gateway,
    { runner, stats: runnerStatsOf(gateway, runner.id) },
    now,
  );
}

describe("occupancy", () => {
  const near = createHead("near");
  const other = createHead("other");

  it("equals a report of the current time", () => {
    const { gateway } = startGroups([near, other]);
    report(gateway, near, { running: 9, at: 0 });
    expect(occupancy(gateway, near, 0)).to.equal(9);
  });

  it("adds local requests sent since the report", () => {
    const { gateway } = startGroups([near, other]);
    report(gateway, near, { running: 9, at: 0 });
    runnerStatsOf(gateway, near.id).inFlight = 2;
    expect(occupancy(gateway, near, 0)).to.equal(11);
  });

  it("equals the mean of its kind for a runner without a report", () => {
    const { gateway } = startGroups([near, other]);
    report(gateway, near, { running: 8, at: 0 });
    expect(occupancy(gateway, other, 0)).to.equal(8);
  });

  it("moves from an old report towards the mean of the kind", () => {
    const { gateway } = startGroups([near, other]);
    report(gateway, near, { running: 12, at: 0 });
    for (let index = 0; index < 100; index += 1) {
      report(gateway, other, { running: 4, at: 5_000 });
    }
    expect(occupancy(gateway, near, 5_000)).to.be.within(4, 5);
  });

  it("multiplies local requests by the assumed number of daemons before any report arrives", () => {
    const { gateway } = startGroups([near, other]);
    runnerStatsOf(gateway, near.id).inFlight = 2;
    expect(occupancy(gateway, near, 0)).to.equal(6);
  });

  it("decays without new reports from a kind of runners", () => {
    const { gateway } = startGroups([near, other]);
    report(gateway, near, { running: 14, at: 0 });
    expect(occupancy(gateway, other, 60_000)).to.be.below(1);
  });
});

describe("a group that has just opened", () => {
  const LONG_OPEN = createHead("long-open");

  function open(harness: GatewayHarness): Runner {
    const head = createHead("fresh");
    harness.feed({
      kind: "runners_read",
      runners: [head],
      removedIds: [],
      isWhole: false,
      position: { timeline: 1, offset: 1 },
      confirmedAt: harness.state.now,
    });
    return head;
  }

  // Guards against an empty group that gets nothing since the others of its kind are full (issue 66).
  it("counts as empty at first, and fills like the others within a second", () => {
    const { harness, gateway } = startGroups([LONG_OPEN]);
    report(gateway, LONG_OPEN, { running: 12, at: 0 });
    const fresh = open(harness);
    expect(occupancy(gateway, fresh, 0)).to.equal(0);
    expect(occupancy(gateway, fresh, 300)).to.be.within(1, 8);
    expect(occupancy(gateway, fresh, 1_000)).to.be.above(10);
  });

  it("is known by no report of the group that its head led before", () => {
    const { harness, gateway } = startGroups([LONG_OPEN]);
    const fresh = open(harness);
    report(gateway, fresh, { running: 12, at: 0 });
    harness.feed({
      kind: "runners_read",
      runners: [{
        ...fresh,
        membership: { ...fresh.membership!, epoch: 2 },
      }],
      removedIds: [],
      isWhole: false,
      position: { timeline: 1, offset: 2 },
      confirmedAt: harness.state.now,
    });
    expect(runnerStatsOf(gateway, fresh.id).load).to.equal(undefined);
  });
});

describe("many groups with rare reports", () => {
  it("are not preferred over one that reported little load", () => {
    const heads = Array.from(
      { length: 20 },
      (_, index) => createHead(`head-${index}`),
    );
    const { harness, gateway } = startGroups(heads);
    for (const head of heads.slice(2, 10)) {
      report(gateway, head, { running: 10, at: 0 });
    }
    report(gateway, heads[1]!, { running: 1, at: 0 });
    const [send] = effectsOf(
      sendRequest(harness, "r1", CHAT),
      "send_to_runner",
    );
    expect(send!.runner).to.equal("head-1");
  });

  it("are passed over for another zone once the groups of this zone are full on average", () => {
    const full = Array.from(
      { length: 10 },
      (_, index) => createHead(`near-${index}`),
    );
    const far = createHead("far", { zone: "nausori-b" });
    const { harness, gateway } = startGroups([...full, far]);
    for (const head of full.slice(0, 5)) {
      report(gateway, head, { running: 11, at: 0 });
    }
    report(gateway, far, { running: 2, at: 0 });
    const [send] = effectsOf(
      sendRequest(harness, "r1", CHAT),
      "send_to_runner",
    );
    expect(send!.runner).to.equal("far");
  });
});

describe("share of all requests", () => {
  const heads = Array.from(
    { length: 10 },
    (_, index) => createHead(`head-${index}`),
  );

  function measure(gateway: Gateway): number {
    for (let index = 0; index < 100; index += 1) recordWorkShare(gateway, 0);
    return gateway.workShare.value;
  }

  it("is small for one daemon among many", () => {
    const { gateway } = startGroups(heads);
    for (const head of heads) report(gateway, head, { running: 9.9, at: 0 });
    runnerStatsOf(gateway, "head-0").inFlight = 1;
    expect(measure(gateway)).to.be.within(0.009, 0.011);
  });

  it("is 1 for the only daemon", () => {
    const { gateway } = startGroups(heads);
    for (const head of heads) report(gateway, head, { running: 0, at: 0 });
    runnerStatsOf(gateway, "head-0").inFlight = 3;
    expect(measure(gateway)).to.equal(1);
  });

  it("stays unchanged while no runner has requests", () => {
    const { gateway } = startGroups(heads);
    const before = gateway.workShare.value;
    expect(measure(gateway)).to.equal(before);
  });
});
