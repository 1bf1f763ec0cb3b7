import { expect } from "chai";
import {
  createHarness,
  createRunner,
  effectsOf,
  MODELS,
} from "../gateway/test_fixture.ts";
import type { GroupView } from "./group_view.ts";
import { checkGroupMembers } from "./health_checks.ts";

/** Time for ten rounds of health checks of 3,100 runners, s. */
const SECONDS = 62;

function createViews(groups: number): GroupView[] {
  const model = MODELS[1]!;
  return Array.from({ length: groups }, (_, group) => ({
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
        alive: true,
        report: undefined,
      });
    }
    harness.advance(100);
  }
  return sent / SECONDS;
}

describe("health checks", () => {
  it("reach each member of a small pool three times a second", () => {
    expect(checksPerSecond(30)).to.be.within(60 * 3, 60 * 3.5);
  });

  it("stay within 500 a second with 3,100 runners", () => {
    expect(checksPerSecond(1_550)).to.be.at.most(500);
  });
});
