import { expect } from "chai";
import { createBufferBudget } from "./buffer_budget.ts";

describe("buffers of responses", () => {
  it("give up the largest one beyond the limit, whoever exceeds it", () => {
    const budget = createBufferBudget({ maxBytes: 100 });
    const given: string[] = [];
    const open = (name: string) => budget.open(() => given.push(name));
    const large = open("large");
    const small = open("small");
    large.set(90);
    small.set(10);
    expect(given).to.deep.equal([]);
    small.set(11);
    expect(given).to.deep.equal(["large"]);
    expect(budget.total()).to.equal(11);
  });

  it("count nothing of a response that has ended", () => {
    const budget = createBufferBudget({ maxBytes: 100 });
    const share = budget.open(() => undefined);
    share.set(60);
    share.release();
    share.release();
    expect(budget.total()).to.equal(0);
  });
});
