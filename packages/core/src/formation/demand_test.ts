import { expect } from "chai";
import {
  createDomain,
  createHarness,
  createHead,
  MODELS,
  publish,
} from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import { demandOf, measureDemand } from "./demand.ts";
import type { RunnerReport } from "./types.ts";
import type { GroupView } from "./group_view.ts";
import { createSimulatedPool, type SimulatedPool } from "./test_pool.ts";

function createView(head: Runner): GroupView {
  const model = MODELS[1]!;
  const { membership } = head;
  const { group: name, epoch } = membership!;
  return {
    service: "llm",
    name,
    epoch,
    model,
    domain: "d1",
    members: [head, undefined],
  };
}

/** Returns the demand for the small model that follows from the reports of the heads. */
function measure(
  heads: readonly Runner[],
  reports: Record<string, RunnerReport>,
): number | undefined {
  const { groupPlanner } = createHarness().state.gateway!;
  for (const [id, report] of Object.entries(reports)) {
    groupPlanner.healthChecks.set(id, {
      sentAt: 0,
      isPending: false,
      failures: 0,
      runnerStartedUnixMs: 1,
      report,
    });
  }
  measureDemand(groupPlanner, heads.map(createView), { slots: 12, now: 0 });
  return demandOf(groupPlanner, { service: "llm", model: "small" });
}

describe("demand for a model", () => {
  it("is the number of requests that its groups run and queue, whichever daemon sent them", () => {
    const demand = measure([createHead("a"), createHead("b")], {
      a: { running: 12, queued: 5 },
      b: { running: 3, queued: 0 },
    });
    expect(demand).to.equal(20);
  });

  it("leaves out groups that are not open", () => {
    const closed = createHead("a");
    closed.membership!.state = "ready";
    const demand = measure([closed, createHead("b")], {
      a: { running: 12, queued: 0 },
      b: { running: 3, queued: 0 },
    });
    expect(demand).to.equal(3);
  });

  // Guards against a model whose demand seemed to fall with each group that it lost (issue 63).
  it("does not fall while the groups that are left are full, or none is left", () => {
    const { groupPlanner } = createHarness().state.gateway!;
    const measureAt = (now: number, heads: Record<string, number>) => {
      const views = Object.entries(heads).map(([id, running]) => {
        groupPlanner.healthChecks.set(id, {
          sentAt: 0,
          isPending: false,
          failures: 0,
          runnerStartedUnixMs: 1,
          report: { running, queued: 0 },
        });
        return createView(createHead(id));
      });
      measureDemand(groupPlanner, views, { slots: 12, now });
      return demandOf(groupPlanner, { service: "llm", model: "small" })!;
    };
    const all = measureAt(0, { a: 12, b: 12, c: 10 });
    let left = 0;
    for (let now = 100; now < 10_000; now += 100) {
      left = measureAt(now, { a: 12 });
    }
    expect(left).to.equal(all);
    for (let now = 10_000; now < 20_000; now += 100) {
      left = measureAt(now, { a: 3 });
    }
    expect(left).to.be.lessThan(all / 2);
  });

  it("is unknown before there were any requests", () => {
    const idle = { running: 0, queued: 0 };
    expect(measure([createHead("a")], { a: idle })).to.equal(undefined);
    expect(measure([createHead("a")], {})).to.equal(undefined);
  });
});

describe("a planner whose daemon receives few requests itself", () => {
  /** Makes the heads of each model report the given number of running requests. */
  function report(pool: SimulatedPool, running: Record<string, number>): void {
    for (const { id, model } of pool.runners.values()) {
      if (model === undefined) continue;
      pool.reports.set(id, { running: running[model]!, queued: 0 });
    }
  }

  function weightsOnNewRunners(running: Record<string, number>): string[] {
    const runners = ["d0", "d1"].flatMap((domain) => createDomain(domain, 10));
    const harness = createHarness();
    publish(harness, { runners });
    const pool = createSimulatedPool(harness, { runners });
    pool.run(20_000);
    report(pool, running);
    pool.run(10_000);
    const fresh = createDomain("d2", 4);
    for (const runner of fresh) pool.add(runner);
    pool.run(60_000);
    return fresh.map(({ id }) => pool.runners.get(id)!.staged[0]!);
  }

  it("loads the weights of the model whose groups are full on new runners", () => {
    expect(weightsOnNewRunners({ large: 12, small: 1 })).to.deep.equal(
      Array(4).fill("large"),
    );
    expect(weightsOnNewRunners({ large: 1, small: 12 })).to.deep.equal(
      Array(4).fill("small"),
    );
  });
});
