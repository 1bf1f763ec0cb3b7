import { expect } from "chai";
import {
  createDomain,
  createHarness,
  effectsOf,
  publish,
} from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import { createSimulatedPool, openGroups } from "./test_pool.ts";

/** Returns runners whose groups have been open for a while. */
function formGroups(): Runner[] {
  const runners = createDomain("d0", 10);
  const harness = createHarness();
  publish(harness, { runners });
  const pool = createSimulatedPool(harness, { runners });
  pool.run(20_000);
  return [...pool.runners.values()];
}

/** Returns the entries of an older copy of the store, from before the runners of one open group had joined it. */
function olderCopyOf(runners: readonly Runner[]): Runner[] {
  const head = runners.find(({ membership }) => membership?.state === "open")!;
  const { group } = head.membership!;
  return runners.map((runner) =>
    runner.membership?.group === group
      ? { ...runner, membership: undefined, model: undefined }
      : runner
  );
}

describe("a planner that comes into office after the store came back from an older copy", () => {
  // Guards against review case 6: a daemon that had followed another one took members of open groups for free runners.
  for (const isKnown of [true, false]) {
    it(`orders nothing until the runners have written again (it ${isKnown ? "knew" : "did not know"} the store before)`, () => {
      const runners = formGroups();
      const harness = createHarness();
      if (isKnown) {
        harness.feed({ kind: "timeline_seen", timeline: 0 });
        publish(harness);
        harness.advance(10_000);
      }
      const pool = createSimulatedPool(harness, { runners });
      const groups = openGroups(pool);
      expect(groups.length).to.be.above(1);
      harness.feed({ kind: "timeline_seen", timeline: 1 });
      publish(harness, { runners: olderCopyOf(runners) });
      pool.run(2_000);
      for (const { id } of runners) pool.change(id, {});
      pool.run(5_000);
      expect(pool.violations).to.deep.equal([]);
      expect(openGroups(pool)).to.deep.equal(groups);
      expect(effectsOf(harness.effects, "order_runner")).to.deep.equal([]);
    });
  }
});
