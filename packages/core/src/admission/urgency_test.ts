import { expect } from "chai";
import fc from "fast-check";
import { slackOf, urgencyOf } from "./urgency.ts";

describe("urgency at a runner", () => {
  it("never puts a request before one of a more urgent priority, whatever their slack", () => {
    const slack = fc.integer({ min: -5_000, max: 5_000 });
    const priorities = fc.uniqueArray(fc.nat(20), {
      minLength: 2,
      maxLength: 10,
    });
    fc.assert(
      fc.property(priorities, slack, slack, (values, one, other) => {
        const sorted = values.sort((a, b) => a - b);
        for (let index = 1; index < sorted.length; index += 1) {
          const urgencyAt = (at: number, slackMs: number) =>
            urgencyOf({
              priorities: sorted,
              priority: sorted[at]!,
              slackMs,
              maxObjectiveMs: 400,
            });
          expect(urgencyAt(index - 1, one)).to.be.below(
            urgencyAt(index, other),
          );
          expect(urgencyAt(index, other)).to.be.within(0, 9);
        }
      }),
      { seed: 20_261_206 },
    );
  });

  it("puts less slack first within a priority, and what cannot be in time last", () => {
    const urgencyAt = (slackMs: number) =>
      urgencyOf({
        priorities: [0],
        priority: 0,
        slackMs,
        maxObjectiveMs: 400,
      });
    expect([0, 100, 200, 399].map(urgencyAt)).to.deep.equal([0, 2, 5, 9]);
    expect(urgencyAt(-1)).to.equal(9);
  });

  it("counts the wait and the reading of the prompt by the pace of the model", () => {
    const options = {
      objectiveMs: 300,
      waitedMs: 40,
      promptTokens: 2_000,
      prefillTokensPerSecond: 20_000,
      pace: 1.5,
    };
    expect(slackOf(options)).to.equal(110);
    expect(slackOf({ ...options, prefillTokensPerSecond: undefined })).to.equal(
      260,
    );
  });
});
