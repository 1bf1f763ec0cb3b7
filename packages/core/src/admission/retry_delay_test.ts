import { expect } from "chai";
import fc from "fast-check";
import { createRandom } from "../util/random.ts";
import { retryDelayOf } from "./retry_delay.ts";

describe("delay of refused callers", () => {
  it("is at most a third of the time that is left to the caller", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 1e6, noNaN: true }),
        fc.integer({ min: -100, max: 60_000 }),
        fc.nat(9),
        fc.nat(),
        (expectedMs, remainingMs, urgencyStep, seed) => {
          const random = createRandom(seed);
          const options = { expectedMs, remainingMs, urgencyStep, random };
          const delayMs = retryDelayOf(options);
          expect(delayMs).to.be.at.least(0);
          expect(delayMs).to.be.at.most(Math.max(0, remainingMs) / 3);
        },
      ),
      { seed: 20_261_206 },
    );
  });

  it("differs from caller to caller, so that they do not return together", () => {
    const random = createRandom(5);
    const options = { expectedMs: 900, remainingMs: 6_000, urgencyStep: 0 };
    const delays = Array.from(
      { length: 50 },
      () => retryDelayOf({ ...options, random }),
    );
    expect(new Set(delays).size).to.be.above(30);
  });

  it("is shorter for more urgent callers", () => {
    const delays = [0, 1, 2].map((urgencyStep) =>
      retryDelayOf({
        expectedMs: Infinity,
        remainingMs: 6_000,
        urgencyStep,
        random: createRandom(5),
      })
    );
    expect(delays).to.deep.equal([...delays].sort((a, b) => a - b));
    expect(delays[0]).to.be.below(delays[1]!);
  });

  it("grows with the time until room is expected", () => {
    const delayOf = (expectedMs: number) =>
      retryDelayOf({
        expectedMs,
        remainingMs: 30_000,
        urgencyStep: 0,
        random: createRandom(5),
      });
    expect(delayOf(2_000)).to.be.above(2 * delayOf(800));
  });
});
