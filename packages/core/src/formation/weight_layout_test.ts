import { expect } from "chai";
import { createDomain, MODELS } from "../gateway/test_fixture.ts";
import type { DomainView } from "./round_types.ts";
import { nextStaging, type Staging } from "./weight_layout.ts";

const [large, small] = MODELS;

function createView(
  domain: string,
  {
    empty = 0,
    largeStaged = 0,
    smallStaged = 0,
    groups = {},
  }: {
    empty?: number;
    largeStaged?: number;
    smallStaged?: number;
    groups?: Record<string, number>;
  } = {},
): DomainView {
  return {
    domain,
    unstaged: createDomain(`${domain}-empty`, empty),
    staged: new Map([
      ["large", createDomain(`${domain}-large`, largeStaged)],
      ["small", createDomain(`${domain}-small`, smallStaged)],
    ]),
    loading: new Map(),
    groups: new Map(Object.entries(groups)),
  };
}

function stage(
  domains: DomainView[],
  demand: Record<string, number> = { large: 1, small: 1 },
): Staging | undefined {
  return nextStaging(domains, {
    models: MODELS,
    demand: new Map(Object.entries(demand)),
  });
}

describe("layout of weights", () => {
  it("chooses the model with the least capacity for its demand", () => {
    const groups = { large: 1, small: 1 };
    const domains = () => [createView("a", { empty: 4, groups })];
    expect(stage(domains(), { large: 3, small: 1 })?.model).to.equal(large);
    expect(stage(domains(), { large: 1, small: 3 })?.model).to.equal(small);
  });

  it("completes a group that is nearly whole before it starts another", () => {
    const domains = [
      createView("a", { empty: 6, groups: { small: 2 } }),
      createView("b", { empty: 2, largeStaged: 3 }),
    ];
    const staging = stage(domains, { large: 9, small: 1 });
    expect(staging?.model).to.equal(large);
    expect(staging?.runner.domain).to.equal("b-empty");
  });

  it("starts no large group where too few runners are left", () => {
    expect(
      stage([createView("a", { empty: 3 })], { large: 9, small: 1 })?.model,
    )
      .to.equal(small);
  });

  it("keeps a spare for a large group when runners appear one by one", () => {
    const domains = [createView("a", { empty: 1, groups: { large: 1 } })];
    expect(stage(domains)?.model).to.equal(large);
  });

  it("keeps a domain to one model, so that the survivors of a broken group can serve as spares", () => {
    const domains = [
      createView("a", { empty: 6, groups: { small: 2 } }),
      createView("b", { empty: 6, groups: { large: 1 } }),
    ];
    const needsLarge = stage(domains, { large: 9, small: 1 });
    expect(needsLarge?.runner.domain).to.equal("b-empty");
    const needsSmall = stage(domains, { large: 1, small: 9 });
    expect(needsSmall?.runner.domain).to.equal("a-empty");
  });

  it("reserves a spare for each large group of a domain before other models use the rest", () => {
    const domains = [createView("a", { empty: 2, groups: { large: 2 } })];
    expect(stage(domains, { large: 1, small: 9 })?.model).to.equal(large);
  });

  it("does not replace the weights of spares of large groups", () => {
    const domain = createView("a", {
      largeStaged: 2,
      smallStaged: 1,
      groups: { large: 2 },
    });
    expect(stage([domain], { large: 1, small: 9 })).to.equal(undefined);
  });

  it("replaces the weights of runners left from a broken group by those of the model with the least capacity", () => {
    const view = createView("a", { largeStaged: 3, smallStaged: 1 });
    const needsSmall = stage([view], { large: 1, small: 9 });
    expect(needsSmall?.model).to.equal(small);
    expect(needsSmall?.runner.domain).to.equal("a-large");
    const needsLarge = stage([view], { large: 9, small: 1 });
    expect(needsLarge?.model).to.equal(large);
    expect(needsLarge?.runner.domain).to.equal("a-small");
  });

  it("keeps the weights of runners that are too few to complete a group", () => {
    const view = createView("a", { smallStaged: 1 });
    expect(stage([view], { large: 9, small: 1 })).to.equal(undefined);
  });
});
