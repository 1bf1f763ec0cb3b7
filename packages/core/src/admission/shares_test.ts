import { expect } from "chai";
import {
  hold,
  MAX_HOLDINGS_AGE_MS,
  ownHoldings,
  recordUnmet,
  release,
  setZoneHoldings,
  sharesExceeded,
} from "./shares.ts";
import type { Admission } from "./types.ts";
import {
  createAdmission,
  levelOf,
  queueOf,
  UNMET_MEMORY_MS,
} from "./waiting_queue.ts";

const ROUTES = new Set(["a", "b"]);

function holdMany(
  admission: Admission,
  path: readonly [string, string],
  { requests, cost = 1_000 }: { requests: number; cost?: number },
): void {
  for (let index = 0; index < requests; index += 1) {
    const holder = { queue: "k", priority: 0, path, cost };
    hold(admission, `${path.join("/")}-${index}`, { holder, now: 0 });
  }
}

function isOver(
  admission: Admission,
  path: readonly [string, string],
  { now = 0 } = {},
): boolean {
  const level = levelOf(queueOf(admission, "k", { now }), 0, { now });
  const options = { routes: ROUTES, now };
  return sharesExceeded(admission, level, { path, cost: 1_000, options }) > 0;
}

function noteUnmet(
  admission: Admission,
  path: readonly [string, string],
): void {
  const queue = queueOf(admission, "k", { now: 0 });
  const level = levelOf(queue, 0, { now: 0 });
  recordUnmet(level, path, { now: 0 });
}

describe("shares of routes and teams", () => {
  it("hold nobody back while no other needs room", () => {
    const admission = createAdmission();
    holdMany(admission, ["a", "t"], { requests: 20 });
    holdMany(admission, ["b", "t"], { requests: 1 });
    expect(isOver(admission, ["a", "t"])).to.equal(false);
  });

  it("hold a route back that has more than its part while another one found no room", () => {
    const admission = createAdmission();
    holdMany(admission, ["a", "t"], { requests: 20 });
    holdMany(admission, ["b", "t"], { requests: 1 });
    noteUnmet(admission, ["b", "t"]);
    expect(isOver(admission, ["a", "t"])).to.equal(true);
    expect(isOver(admission, ["b", "t"])).to.equal(false);
    const now = UNMET_MEMORY_MS + 1;
    expect(isOver(admission, ["a", "t"], { now })).to.equal(false);
  });

  it("count what the zone holds where its counts are recent, and own counts where they are late", () => {
    const admission = createAdmission();
    holdMany(admission, ["a", "t"], { requests: 1 });
    const holding = { team: "t", requests: 9, waiting: 0 };
    const holdings = [
      { ...holding, route: "a", tokens: 9_000 },
      { ...holding, route: "b", tokens: 1_000, waiting: 2 },
      { ...holding, route: "elsewhere", tokens: 1e9 },
    ];
    setZoneHoldings(admission, { holdings, ageMs: 200 }, { now: 0 });
    expect(isOver(admission, ["a", "t"])).to.equal(true);
    const now = MAX_HOLDINGS_AGE_MS - 199;
    expect(isOver(admission, ["a", "t"], { now })).to.equal(false);
  });

  it("forget a request that has ended, also where its end is reported twice", () => {
    const admission = createAdmission();
    holdMany(admission, ["a", "t"], { requests: 2 });
    release(admission, "a/t-0");
    release(admission, "a/t-0");
    expect(ownHoldings(admission)).to.deep.equal([
      { route: "a", team: "t", requests: 1, tokens: 1_000, waiting: 0 },
    ]);
    release(admission, "a/t-1");
    const { levels } = queueOf(admission, "k", { now: 0 });
    expect(levels[0]!.held.size).to.equal(0);
  });
});
