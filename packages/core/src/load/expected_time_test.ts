import { expect } from "chai";
import {
  expectedFirstEventMs,
  type ExpectedTimeInput,
} from "./expected_time.ts";
import { isSlow, slownessAt } from "./slowness.ts";

const SPEED = {
  stepMs: 8,
  stepMsPerRequest: 0.1,
  stepMsPerContextKiloToken: 0.01,
  stepsPerPass: 5,
  prefillTokensPerSecond: 40_000,
  prefillChunkTokens: 512,
  usual: { promptTokens: 800, outputTokens: 100 },
};

const INPUT: ExpectedTimeInput = {
  speed: SPEED,
  pace: 1,
  slots: 21,
  occupancy: 0,
  promptTokens: 400,
  isOtherZone: false,
  slowness: 1,
};

const expectedMs = (changes: Partial<ExpectedTimeInput> = {}) =>
  expectedFirstEventMs({ ...INPUT, ...changes });

describe("expected time to the first event", () => {
  it("of an idle runner is that of the prompt and one step", () => {
    expect(expectedMs()).to.be.closeTo(10 + 8, 0.5);
  });

  // Guards against long prompts that are sent to runners at which they are late.
  it("grows with the prompt, with a step for each piece", () => {
    const grown = expectedMs({ promptTokens: 2_048 }) - expectedMs();
    expect(grown).to.be.closeTo((2_048 - 400) / 40 + 3 * 8, 0.5);
  });

  it("grows with each request that runs, and by a pass with the first", () => {
    expect(expectedMs({ occupancy: 1 }) - expectedMs()).to.be.above(20);
    expect(expectedMs({ occupancy: 10 }))
      .to.be.above(expectedMs({ occupancy: 5 }));
  });

  // Guards against a group that is taken for free one request below its slots, by an estimate that is off by two.
  it("begins to hold a wait for a slot a few requests below the slots", () => {
    const waitMs = (occupancy: number) =>
      expectedMs({ occupancy: occupancy + 1 }) - expectedMs({ occupancy });
    expect(waitMs(5)).to.be.below(3);
    expect(waitMs(18)).to.be.above(10);
    expect(waitMs(25)).to.be.closeTo((20 + 100 * 10.27) / 21, 10);
  });

  it("scales with the pace of the model and the slowness of the runner, not with the network", () => {
    const networkMs = expectedMs({ isOtherZone: true }) - expectedMs();
    expect(networkMs).to.be.closeTo(2.8, 0.01);
    expect(expectedMs({ pace: 0.5, slowness: 4 }))
      .to.be.closeTo(2 * expectedMs(), 0.01);
  });

  it("is known also where the configuration names no speed", () => {
    expect(expectedMs({ speed: undefined })).to.be.within(1, 100);
  });
});

describe("slowness of a runner", () => {
  const slowness = { ratio: 3, at: 0, isSlow: true, lastOwn: undefined };

  // Guards against a runner that never gets work again after it was slow once.
  it("fades back to 1 without observations, after which it gets work again", () => {
    expect(slownessAt(slowness, 0)).to.equal(3);
    expect(slownessAt(slowness, 60_000)).to.be.closeTo(1, 0.01);
    expect(isSlow(slowness, 0)).to.equal(true);
    expect(isSlow(slowness, 30_000)).to.equal(false);
  });
});
