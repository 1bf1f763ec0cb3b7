import { expect } from "chai";
import { readTitles } from "./known_red.ts";

describe("the list of known failures", () => {
  it("names tests by their full titles, and leaves out everything else", () => {
    const list = "a bench\n  command: npm run bench\n  issue: 11\n" +
      "a fault\n  test: streams are resumed\n  what: test: not this one\n";
    expect(readTitles(list)).to.deep.equal(["streams are resumed"]);
  });
});
