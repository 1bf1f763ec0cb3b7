import { expect } from "chai";
import {
  candidatesFor,
  hasCandidates,
  indexRunner,
  removeRunner,
} from "./runner_index.ts";
import { createHarness, createHead, createRunner } from "./test_fixture.ts";
import type { Gateway } from "./types.ts";

const SMALL = { service: "llm", model: "small" };
const DESK = { service: "desk", model: undefined };

function startGateway(): Gateway {
  return createHarness().state.gateway!;
}

function idsOf(gateway: Gateway, kind: typeof SMALL | typeof DESK): string[] {
  return [...candidatesFor(gateway, kind)].map(({ id }) => id);
}

describe("runner index", () => {
  it("returns the heads of a model's open groups, and every runner of a plain service", () => {
    const gateway = startGateway();
    indexRunner(gateway, createHead("head-0"));
    indexRunner(gateway, createHead("head-1", { model: "large" }));
    indexRunner(gateway, createRunner("desk-0"));
    expect(idsOf(gateway, SMALL)).to.deep.equal(["head-0"]);
    expect(idsOf(gateway, DESK)).to.deep.equal(["desk-0"]);
  });

  it("returns no engine for requests without a model's name", () => {
    const gateway = startGateway();
    indexRunner(gateway, createHead("head-0"));
    expect([...candidatesFor(gateway, { service: "llm", model: "" })]).to.deep
      .equal(
        [],
      );
  });

  it("updates a runner that changes its model, closes or drains", () => {
    const gateway = startGateway();
    const head = createHead("head-0");
    const closed = { ...head.membership!, state: "ready" as const };
    indexRunner(gateway, head);
    indexRunner(gateway, { ...head, model: "large" });
    expect(idsOf(gateway, SMALL)).to.deep.equal([]);
    indexRunner(gateway, { ...head, membership: closed });
    expect(hasCandidates(gateway, SMALL)).to.equal(false);
    indexRunner(gateway, { ...head, state: "draining" });
    expect(hasCandidates(gateway, { service: "llm", model: undefined })).to
      .equal(
        false,
      );
  });

  it("keeps nothing of a removed runner", () => {
    const gateway = startGateway();
    indexRunner(gateway, createHead("head-0"));
    expect(removeRunner(gateway, "head-0")).to.equal(true);
    expect(removeRunner(gateway, "head-0")).to.equal(false);
    expect(gateway.runnerIndex.size).to.equal(0);
    expect(gateway.runners.size).to.equal(0);
  });

  it("returns only the candidates of a kind of work among thousands of runners", () => {
    const gateway = startGateway();
    for (let index = 0; index < 3_100; index += 1) {
      indexRunner(
        gateway,
        createRunner(`other-${index}`, { service: "other" }),
      );
    }
    indexRunner(gateway, createHead("head-0"));
    expect(idsOf(gateway, SMALL)).to.have.length(1);
  });
});
