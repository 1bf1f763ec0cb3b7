import { expect } from "chai";
import { isServed, listRunner, takersOf, unlistRunner } from "./roster.ts";
import { createGate, createHead, createRunner } from "./test_fixture.ts";
import type { Gateway } from "./types.ts";

const SMALL = { service: "llm", model: "small" };
const DESK = { service: "desk", model: undefined };

function createRoster(): Gateway {
  return createGate().state.gateway!;
}

function idsOf(gateway: Gateway, kind: typeof SMALL | typeof DESK): string[] {
  return [...takersOf(gateway, kind)].map(({ id }) => id);
}

describe("runner index", () => {
  it("returns the heads of a model's open groups, and every runner of a plain service", () => {
    const gateway = createRoster();
    listRunner(gateway, createHead("head-0"));
    listRunner(gateway, createHead("head-1", { model: "large" }));
    listRunner(gateway, createRunner("desk-0"));
    expect(idsOf(gateway, SMALL)).to.deep.equal(["head-0"]);
    expect(idsOf(gateway, DESK)).to.deep.equal(["desk-0"]);
  });

  it("returns no engine for requests without a model's name", () => {
    const gateway = createRoster();
    listRunner(gateway, createHead("head-0"));
    expect([...takersOf(gateway, { service: "llm", model: "" })]).to.deep.equal(
      [],
    );
  });

  it("updates a runner that changes its model, closes or drains", () => {
    const gateway = createRoster();
    const head = createHead("head-0");
    const closed = { ...head.membership!, state: "ready" as const };
    listRunner(gateway, head);
    listRunner(gateway, { ...head, model: "large" });
    expect(idsOf(gateway, SMALL)).to.deep.equal([]);
    listRunner(gateway, { ...head, membership: closed });
    expect(isServed(gateway, SMALL)).to.equal(false);
    listRunner(gateway, { ...head, state: "draining" });
    expect(isServed(gateway, { service: "llm", model: undefined })).to.equal(
      false,
    );
  });

  it("keeps nothing of a removed runner", () => {
    const gateway = createRoster();
    listRunner(gateway, createHead("head-0"));
    expect(unlistRunner(gateway, "head-0")).to.equal(true);
    expect(unlistRunner(gateway, "head-0")).to.equal(false);
    expect(gateway.takers.size).to.equal(0);
    expect(gateway.runners.size).to.equal(0);
  });

  it("returns only the candidates of a kind of work among thousands of runners", () => {
    const gateway = createRoster();
    for (let index = 0; index < 3_100; index += 1) {
      listRunner(gateway, createRunner(`other-${index}`, { service: "other" }));
    }
    listRunner(gateway, createHead("head-0"));
    expect(idsOf(gateway, SMALL)).to.have.length(1);
  });
});
