import { expect } from "chai";
import fc from "fast-check";
import { advanceCursor, type StreamChunk } from "./cursor.ts";

describe("advanceCursor", () => {
  it("delivers chunks in order and drops duplicates", () => {
    const cursor = { id: "r", next: 0, isNewRun: true };
    expect(advanceCursor(cursor, { id: "r", offset: 0, tokens: 2 })).to.equal(
      "deliver",
    );
    expect(advanceCursor(cursor, { id: "r", offset: 1, tokens: 1 })).to.equal(
      "drop_duplicate",
    );
    expect(advanceCursor(cursor, { id: "r", offset: 2, tokens: 1 })).to.equal(
      "deliver",
    );
    expect(cursor.next).to.equal(3);
  });

  it("rejects gaps, overlaps and chunks of other requests", () => {
    const cursor = { id: "r", next: 4, isNewRun: false };
    expect(advanceCursor(cursor, { id: "r", offset: 6, tokens: 1 })).to.equal(
      "broken_frame",
    );
    expect(advanceCursor(cursor, { id: "r", offset: 3, tokens: 3 })).to.equal(
      "broken_frame",
    );
    expect(advanceCursor(cursor, { id: "other", offset: 4, tokens: 1 })).to
      .equal(
        "foreign_answer",
      );
    expect(cursor.next).to.equal(4);
  });

  it("rejects a new run that does not go on at the next token", () => {
    for (const offset of [0, 3, 5]) {
      const cursor = { id: "r", next: 4, isNewRun: true };
      expect(advanceCursor(cursor, { id: "r", offset, tokens: 1 })).to.equal(
        "broken_frame",
      );
    }
  });

  it("never skips or repeats a token under any sequence of chunks", () => {
    const chunk = fc.record({
      id: fc.constantFrom("r", "other"),
      offset: fc.integer({ min: -2, max: 12 }),
      tokens: fc.integer({ min: -1, max: 3 }),
    });
    fc.assert(
      fc.property(fc.array(chunk), (chunks: StreamChunk[]) => {
        const cursor = { id: "r", next: 0, isNewRun: true };
        const delivered: number[] = [];
        for (const arrived of chunks) {
          if (advanceCursor(cursor, arrived) !== "deliver") continue;
          for (let token = 0; token < arrived.tokens; token++) {
            delivered.push(arrived.offset + token);
          }
        }
        expect(delivered).to.deep.equal(delivered.map((_, index) => index));
      }),
      { seed: 7, numRuns: 500 },
    );
  });
});
