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

  // Guards against slow callers whose answers crowd out responses of sound runners.
  it("give up what is left unread before what is incomplete", () => {
    const budget = createBufferBudget({ maxBytes: 100 });
    const given: string[] = [];
    const incomplete = budget.open(() => given.push("incomplete"));
    const unread = budget.open(() => given.push("unread"), { isUnread: true });
    incomplete.set(80);
    unread.set(21);
    expect(given).to.deep.equal(["unread"]);
    incomplete.set(101);
    expect(given).to.deep.equal(["unread", "incomplete"]);
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
