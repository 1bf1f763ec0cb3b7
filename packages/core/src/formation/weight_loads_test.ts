import { expect } from "chai";
import {
  createDocument,
  createHarness,
  ENGINE,
  MODELS,
  publish,
} from "../gateway/test_fixture.ts";
import type { Gateway } from "../gateway/types.ts";
import { reserveWeightLoad } from "./weight_loads.ts";

const STEP_MS = 100;
const [MODEL] = MODELS;

function startGateway(): Gateway {
  const harness = createHarness();
  publish(harness, { document: createDocument() });
  return harness.state.gateway!;
}

/** Starts every weight load that is allowed within `ms`, and returns when each began, ms. */
function takeAll(
  engine: typeof ENGINE,
  { ms }: { ms: number },
): number[] {
  const gateway = startGateway();
  const begun: number[] = [];
  for (let now = 0; now <= ms; now += STEP_MS) {
    while (reserveWeightLoad(gateway, engine, { model: MODEL!, now })) {
      begun.push(now);
    }
  }
  return begun;
}

describe("weight loads", () => {
  it("begin no faster than allowed, where many may run concurrently", () => {
    const engine = { ...ENGINE, loadsAtOnce: 1_000, loadsPerSecond: 5 };
    const begun = takeAll(engine, { ms: 20_000 });
    for (const start of begun) {
      const window = begun.filter((at) => at >= start && at < start + 5_000);
      expect(window.length).to.be.at.most(5 * 5 * 1.1 + 3);
    }
    expect(begun.length).to.be.above(80);
  });

  it("run no more concurrently than the weight store serves at full speed, where they may begin fast", () => {
    const engine = { ...ENGINE, loadsAtOnce: 3, loadsPerSecond: 1_000 };
    const begun = takeAll(engine, { ms: 10_000 });
    expect(begun).to.have.length(3);
  });
});
