import { expect } from "chai";
import { createDomain } from "../gateway/test_fixture.ts";
import type { Model } from "../gateway/types.ts";
import { sparesWorth, targetLayout } from "./layout_target.ts";
import type { DomainView } from "./round_types.ts";

const MODELS: Model[] = [
  { name: "large", size: 16, share: 0.5, pace: 1, loadMs: 16_000 },
  { name: "small", size: 4, share: 0.5, pace: 0.6, loadMs: 12_000 },
];

function createView(
  domain: string,
  { unstaged = 0, largeHolders = 0, groups = {} }: {
    unstaged?: number;
    largeHolders?: number;
    groups?: Record<string, number>;
  },
): DomainView {
  return {
    domain,
    unstaged: createDomain(`${domain}-new`, unstaged),
    staged: new Map([["large", createDomain(domain, largeHolders)]]),
    loading: new Map(),
    groups: new Map(Object.entries(groups)),
  };
}

/** Demand that asks each model for the same share of all runners. */
const EVEN = new Map([["large", 1 / 16], ["small", 1 / 4]]);

describe("spares worth keeping", () => {
  const worth = (size: number, lossShare: number) =>
    sparesWorth({ size, loadMs: 16_000 }, {
      groups: 1,
      lossRate: lossShare / 16_000,
    });

  it("are more the larger the group and the more often members are lost", () => {
    expect(worth(2, 0)).to.equal(0);
    expect(worth(8, 0)).to.equal(1);
    expect(worth(16, 0)).to.equal(3);
    expect(worth(16, 0.14)).to.equal(4);
  });

  it("are finite where nearly all members are lost", () => {
    expect(worth(16, 100)).to.be.at.most(16);
  });
});

describe("target layout", () => {
  // Guards against a large model that gets fewer groups than its share of the work, in domains that lack spares
  // (issue 66).
  it("divides the runners by the work, and keeps spares beside each large group", () => {
    const domains = ["a", "b", "c", "d", "e", "f"].map((domain) =>
      createView(domain, { unstaged: 37 })
    );
    const target = targetLayout(domains, { models: MODELS, demand: EVEN });
    const large = [...target.values()].map((models) => models.get("large")!);
    const small = [...target.values()].map((models) => models.get("small")!);
    const groupsOf = (list: { groups: number }[]) =>
      list.reduce((sum, { groups }) => sum + groups, 0);
    expect(groupsOf(large)).to.equal(6);
    expect(groupsOf(small)).to.be.at.least(24);
    for (const { groups, spares } of large) {
      expect(spares).to.be.at.least(groups * 2);
    }
  });

  it("keeps all groups, also where the work asks for fewer", () => {
    const domains = [createView("a", { groups: { large: 2, small: 1 } })];
    const demand = new Map([["large", 0.001], ["small", 100]]);
    const target = targetLayout(domains, { models: MODELS, demand });
    expect(target.get("a")!.get("large")!.groups).to.equal(2);
    expect(target.get("a")!.get("small")!.groups).to.equal(1);
  });

  // Guards against a domain that leaves 15 holders of a model's weights idle for want of a runner (issue 66).
  it("gives up a small group where its runners complete a large one", () => {
    const view = createView("a", { largeHolders: 15, groups: { small: 4 } });
    const demand = new Map([["large", 20], ["small", 5]]);
    const target = targetLayout([view], { models: MODELS, demand });
    expect(target.get("a")!.get("large")!.groups).to.equal(1);
    expect(target.get("a")!.get("small")!.groups).to.equal(3);
  });

  it("gives up no small group where most of a large one would be missing", () => {
    const view = createView("a", { largeHolders: 6, groups: { small: 5 } });
    const demand = new Map([["large", 20], ["small", 5]]);
    const target = targetLayout([view], { models: MODELS, demand });
    expect(target.get("a")!.get("small")!.groups).to.be.at.least(5);
  });

  it("does not change while demand and the groups stay within a fraction of a group", () => {
    const view = () => createView("a", { groups: { large: 1, small: 5 } });
    for (const demand of [0.9, 1, 1.1]) {
      const target = targetLayout([view()], {
        models: MODELS,
        demand: new Map([["large", demand], ["small", 5]]),
      });
      expect(target.get("a")!.get("large")!.groups).to.equal(1);
      expect(target.get("a")!.get("small")!.groups).to.equal(5);
    }
  });
});
