import { expect } from "chai";
import {
  createHarness,
  createRunner,
  effectsOf,
  MODELS,
} from "../gateway/test_fixture.ts";
import { type GroupView, isPresumedDead } from "./group_view.ts";
import { checkGroupMembers } from "./health_checks.ts";

/** Time for ten rounds of health checks of 3,100 runners, s. */
const SECONDS = 62;

function createViews(groups: number): GroupView[] {
  const model = MODELS[1]!;
  return Array.from({ length: groups }, (_, group) => ({
    service: "llm",
    name: `${model.name}:1:${group}`,
    epoch: 1,
    model,
    domain: "d1",
    members: Array.from(
      { length: model.size },
      (_, rank) => createRunner(`r-${group}-${rank}`, { domain: "d1" }),
    ),
  }));
}

/** Returns the number of health checks sent per second, where each is answered at once. */
function checksPerSecond(groups: number): number {
  const harness = createHarness();
  const views = createViews(groups);
  let sent = 0;
  for (
    const end = harness.state.now + SECONDS * 1_000;
    harness.state.now < end;
  ) {
    const checks = effectsOf(
      [...checkGroupMembers(harness.state, views)],
      "check_runner",
    );
    sent += checks.length;
    for (const { runner } of checks) {
      harness.feed({
        kind: "runner_checked",
        runner,
        status: "alive",
        report: undefined,
      });
    }
    harness.advance(100);
  }
  return sent / SECONDS;
}

/** Returns how long it takes until one member of a large pool is presumed dead, ms. */
function detectionMs(status: "silent" | "refused"): number {
  const harness = createHarness();
  const views = createViews(380);
  const dead = views[200]!.members[1]!;
  let diedAt: number | undefined;
  while (harness.state.now < 20_000) {
    const checks = effectsOf(
      [...checkGroupMembers(harness.state, views)],
      "check_runner",
    );
    for (const { runner } of checks) {
      const isDead = harness.state.now > 5_000 && runner === dead.id;
      if (isDead) diedAt ??= harness.state.now;
      harness.feed({
        kind: "runner_checked",
        runner,
        status: isDead ? status : "alive",
        report: undefined,
      });
    }
    if (isPresumedDead(harness.state.gateway!.groupPlanner, dead)) {
      return harness.state.now - diedAt!;
    }
    harness.advance(100);
  }
  return Infinity;
}

/** Returns the checks of each round of a new leader on a small VM, whose rounds come at the given interval. */
function roundsOfNewLeader(intervalMs: number): string[][] {
  const self = {
    node: "entry-1",
    zone: "suva-a",
    address: "entry-1:1",
    incarnation: "i1",
    cores: 0.324,
  };
  const harness = createHarness({ self });
  const views = createViews(108);
  return Array.from({ length: 40 }, () => {
    const checks = effectsOf(
      [...checkGroupMembers(harness.state, views)],
      "check_runner",
    );
    for (const { runner } of checks) {
      harness.feed({
        kind: "runner_checked",
        runner,
        status: "alive",
        report: undefined,
      });
    }
    harness.advance(intervalMs);
    return checks.map(({ runner }) => runner);
  });
}

describe("health checks", () => {
  // Guards against GONE: a new leader checked all 216 members in one turn, which took half a second of a small VM.
  it("of a new leader come in rounds that a small VM carries out in time", () => {
    const rounds = roundsOfNewLeader(100);
    for (const round of rounds) expect(round.length).to.be.at.most(13);
    expect(new Set(rounds.slice(0, 17).flat()).size).to.equal(216);
  });

  it("reach all members in turn where rounds come late", () => {
    const checks = roundsOfNewLeader(300).flat();
    const counts = new Map<string, number>();
    for (const id of checks) counts.set(id, (counts.get(id) ?? 0) + 1);
    expect(counts.size).to.equal(216);
    const values = [...counts.values()];
    expect(Math.max(...values) - Math.min(...values)).to.be.at.most(1);
  });

  it("find a crash among 760 members with the first check, a silent one soon after it", () => {
    expect(detectionMs("refused")).to.equal(0);
    expect(detectionMs("silent")).to.be.at.most(400);
  });

  it("reach each member of a small pool three times a second", () => {
    expect(checksPerSecond(30)).to.be.within(60 * 3, 60 * 3.5);
  });

  it("stay within 500 a second with 3,100 runners", () => {
    expect(checksPerSecond(1_550)).to.be.at.most(500);
  });
});
