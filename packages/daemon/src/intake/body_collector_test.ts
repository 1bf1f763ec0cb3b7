import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import { createBodyCollector } from "./body_collector.ts";

describe("a collector of chunks", () => {
  it("returns all bytes in order, whatever the sizes of the chunks", () => {
    const sizes = fc.oneof(
      fc.integer({ min: 1, max: 300 }),
      fc.integer({ min: 3_000, max: 20_000 }),
    );
    fc.assert(fc.property(fc.array(sizes, { maxLength: 60 }), (lengths) => {
      const chunks = lengths.map((length, index) =>
        Buffer.alloc(length, index + 1)
      );
      const collector = createBodyCollector();
      for (const chunk of chunks) collector.add(chunk);
      const whole = Buffer.concat(chunks);
      expect(collector.size()).to.equal(whole.length);
      expect(collector.heldBytes()).to.be.at.least(whole.length);
      expect(collector.take().equals(whole)).to.equal(true);
      expect(collector.heldBytes()).to.equal(0);
    }));
  });

  // Guards against chunks that each take an object of a few hundred bytes.
  it("holds little more than what small chunks carry", () => {
    const collector = createBodyCollector();
    const bytes = 400_000;
    for (let index = 0; index < bytes; index += 1) {
      collector.add(Buffer.from("x"));
    }
    expect(collector.heldBytes()).to.be.within(bytes, bytes + 2 * 16_384);
  });
});
