import { expect } from "chai";
import fc from "fast-check";
import { tupleKey } from "./tuple_key.ts";

/** Names in which marks that keys are made with are frequent. */
const name = fc.option(
  fc.oneof(
    fc.string({ unit: fc.constantFrom(..."ab:/# \n-01"), maxLength: 6 }),
    fc.string({ unit: "binary", maxLength: 6 }),
  ),
  { nil: undefined },
);
const names = fc.array(name, { maxLength: 4 });

describe("a key of several names", () => {
  // Guards against the class of case 5 of the review (PARTIAL): names that hold the mark at which keys are joined or cut.
  it("is the same for the same names only", () => {
    fc.assert(
      fc.property(names, names, (left, right) => {
        const isSame = left.length === right.length &&
          left.every((each, index) => each === right[index]);
        expect(tupleKey(...left) === tupleKey(...right)).to.equal(isSame);
      }),
      { numRuns: 2_000 },
    );
  });

  it("tells names apart whose marks move from one to the other", () => {
    const tuples = [
      ["a", "b:c"],
      ["a:b", "c"],
      ["a", "b", "c"],
      ["a", ""],
      [
        "a",
        undefined,
      ],
      ["a"],
      ["1:a"],
    ];
    const keys = tuples.map((each) => tupleKey(...each));
    expect(new Set(keys).size).to.equal(tuples.length);
  });
});
