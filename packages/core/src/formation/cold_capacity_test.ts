import { expect } from "chai";
import {
  createDocument,
  createHarness,
  createHead,
  ENGINE,
  MODELS,
  publish,
} from "../gateway/test_fixture.ts";
import type { EngineProfile, Service } from "../gateway/types.ts";
import { COLD_START } from "../pacing/test_cold_fleet.ts";
import { warmRateOf } from "./cold_capacity.ts";
import { summarizeDomains } from "./domains.ts";
import { deriveGroups } from "./group_view.ts";
import { sortByNeed } from "./weight_layout.ts";

/** A request takes 100 ms to read and 100 steps of 2 ms: 12 slots complete 40 a second, at pace 1. */
const FAST_ENGINE: EngineProfile = {
  ...ENGINE,
  speed: {
    stepMs: 2,
    stepMsPerRequest: 0,
    stepMsPerContextKiloToken: 0,
    stepsPerPass: 1,
    prefillTokensPerSecond: 10_000,
    prefillChunkTokens: 1_000,
    usual: { promptTokens: 1_000, outputTokens: 100 },
  },
};

function modelsByNeed(
  engine: EngineProfile,
  { coldForMs }: { coldForMs: number },
) {
  const service: Service = { name: "llm", engine, coldStart: COLD_START };
  const harness = createHarness();
  const heads = ["large", "small"].map((model) =>
    createHead(model, {
      model,
      membership: {
        group: `${model}:1:1`,
        epoch: 1,
        rank: 0,
        state: "open" as const,
      },
      coldForMs: model === "small" ? coldForMs : 0,
    })
  );
  publish(harness, {
    document: createDocument({ services: [service] }),
    runners: heads,
  });
  const views = deriveGroups(harness.state.gateway!, {
    service: "llm",
    models: MODELS,
    now: harness.state.now,
  });
  const domains = summarizeDomains(harness.state, { service, views });
  const demand = new Map([["large", 1], ["small", 0.9]]);
  return sortByNeed([...domains.values()], { models: MODELS, demand })
    .map(({ name }) => name);
}

describe("the capacity of a cold group", () => {
  it("is known from the speed of the engines", () => {
    expect(warmRateOf(FAST_ENGINE, { pace: 1 })).to.be.closeTo(40, 0.001);
    expect(warmRateOf(ENGINE, { pace: 1 })).to.equal(undefined);
  });

  // Guards against a model that has only cold groups and counts as well served.
  it("counts by the rate that it takes when models are compared", () => {
    expect(modelsByNeed(FAST_ENGINE, { coldForMs: 0 })[0]).to.equal("large");
    expect(modelsByNeed(FAST_ENGINE, { coldForMs: 3_000 })[0]).to.equal(
      "small",
    );
  });

  it("counts in full where the speed is not known", () => {
    expect(modelsByNeed(ENGINE, { coldForMs: 3_000 })[0]).to.equal("large");
  });
});
