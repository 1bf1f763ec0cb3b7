import { expect } from "chai";
import type { Load } from "./test_engines.ts";
import {
  createStreamRoute,
  inTimeShare,
  playLoads,
  type PlayOptions,
  servedShare,
} from "./test_load.ts";

const ROUTES = ["a", "b", "c"].map((name) => createStreamRoute(name));
/** Two groups of 12 slots, each held for about 1.07 s: some 22 requests a second. */
const OPTIONS: PlayOptions = {
  routes: ROUTES,
  groups: 2,
  seconds: 30,
  seed: 11,
};

function createLoad(
  route: string,
  perSecond: number,
  changes: Partial<Load> = {},
): Load {
  return {
    route,
    team: "t",
    perSecond,
    promptTokens: 1_000,
    outputTokens: 20,
    ...changes,
  };
}

describe("three streaming routes of one priority, one of them at twice its rate", () => {
  it("leave the other two their part", () => {
    const [burst, ...others] = playLoads([
      createLoad("a", 14),
      createLoad("b", 6),
      createLoad("c", 6),
    ], OPTIONS);
    for (const served of others) {
      expect(servedShare(served)).to.be.above(0.85);
      expect(inTimeShare(served)).to.be.above(inTimeShare(burst!));
    }
    expect(servedShare(burst!)).to.be.above(0.5);
  });
});

describe("long prompts beside many short ones", () => {
  it("are served no less than the short ones", () => {
    const routes = [
      createStreamRoute("a", { targetLatencyMs: 202 }),
      createStreamRoute("b", { targetLatencyMs: 302 }),
      createStreamRoute("c", { targetLatencyMs: 403 }),
    ];
    const [short, ...long] = playLoads([
      createLoad("a", 22, { promptTokens: 714 }),
      createLoad("b", 2.5, { promptTokens: 1_460 }),
      createLoad("c", 2.5, { promptTokens: 2_000 }),
    ], { ...OPTIONS, routes });
    for (const served of long) {
      expect(servedShare(served)).to.be.above(0.9);
      expect(inTimeShare(served)).to.be.above(inTimeShare(short!));
    }
  });
});

describe("a team at ten times its rate", () => {
  it("does not take the room of the others of its priority", () => {
    const [burst, ...others] = playLoads([
      createLoad("a", 40, { team: "large" }),
      createLoad("a", 4, { team: "small-1" }),
      createLoad("b", 4, { team: "small-1" }),
      createLoad("a", 4, { team: "small-2" }),
    ], OPTIONS);
    for (const served of others) {
      expect(servedShare(served)).to.be.above(0.7);
    }
    expect(servedShare(burst!)).to.be.below(0.35);
  });
});

/** Plays the three kinds against six groups at a fleet of 24 daemons. */
function playFleet(changes: Partial<PlayOptions>) {
  const routes = [
    createStreamRoute("a", { targetLatencyMs: 202 }),
    createStreamRoute("b", { targetLatencyMs: 302 }),
    createStreamRoute("c", { targetLatencyMs: 403 }),
  ];
  return playLoads([
    createLoad("a", 66, { promptTokens: 714 }),
    createLoad("b", 7.5, { promptTokens: 1_460 }),
    createLoad("c", 7.5, { promptTokens: 2_000 }),
  ], { ...OPTIONS, routes, groups: 6, daemons: 24, seconds: 20, ...changes });
}

describe("long prompts beside many short ones, at 24 daemons that share counts", () => {
  for (const seed of [11, 12, 13]) {
    it(`are served, though each daemon sees few of them, with seed ${seed}`, () => {
      const [short, ...long] = playFleet({ sharing: "counts", seed });
      for (const served of long) {
        expect(servedShare(served)).to.be.above(0.9);
        expect(inTimeShare(served)).to.be.above(inTimeShare(short!));
      }
    });
  }

  // Guards against groups that stand idle, since their last report, made while they were full, is taken for true.
  it("are served also where load reports are shared", () => {
    const [, ...long] = playFleet({ sharing: "counts_and_loads", seed: 12 });
    for (const served of long) expect(servedShare(served)).to.be.above(0.9);
  });
});

describe("callers that repeat at once", () => {
  it("gain nothing over those that wait, where their requests are recognized", () => {
    const [patient, hasty] = playLoads([
      createLoad("a", 20),
      createLoad("a", 20, { repeatsAtOnce: true }),
    ], { ...OPTIONS, seconds: 10, hasFingerprints: true });
    expect(inTimeShare(hasty!)).to.be.below(1.1 * inTimeShare(patient!));
    expect(servedShare(hasty!)).to.be.below(1.1 * servedShare(patient!));
  });
});

describe("a less urgent kind beside an urgent one at twice the capacity", () => {
  it("is served at a quarter of the rate of all at the least", () => {
    const routes = [
      ...ROUTES.slice(0, 2),
      createStreamRoute("c", { priority: 1, targetLatencyMs: 400 }),
    ];
    const results = playLoads([
      createLoad("a", 25),
      createLoad("b", 20),
      createLoad("c", 4),
    ], { ...OPTIONS, routes });
    const total = results.reduce(
      (sum, { offered, inTime, late }) => ({
        offered: sum.offered + offered,
        served: sum.served + inTime + late,
      }),
      { offered: 0, served: 0 },
    );
    const rate = total.served / total.offered;
    expect(servedShare(results[2]!)).to.be.above(rate / 4);
  });
});
