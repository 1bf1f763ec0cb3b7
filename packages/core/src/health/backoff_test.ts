import { expect } from "chai";
import { createState } from "../state/create_state.ts";
import type { State, Target } from "../state/types.ts";
import { endBackoff, forgetBackoff } from "./backoff.ts";

const UNTIL_MS = 1_000;

function createStateAt(now: number): State {
  return createState({
    name: "entry-1",
    zone: "suva-a",
    site: "suva-a",
    incarnation: "1",
    balancerLagMs: 0,
  }, { seed: 1, now });
}

const createTarget = () => ({
  deployment: "none",
  backoffUntil: UNTIL_MS,
} as Target);

describe("the back-off that a target asked for", () => {
  // Guards against earlier requests of this entry VM that end well in that time and let new ones go to the target.
  it("is not ended by an answer that comes in that time", () => {
    const target = createTarget();
    endBackoff(createStateAt(UNTIL_MS - 1), target);
    expect(target.backoffUntil).to.equal(UNTIL_MS);
    endBackoff(createStateAt(UNTIL_MS), target);
    expect(target.backoffUntil).to.equal(undefined);
  });

  it("ends with the process that asked for it", () => {
    const target = createTarget();
    forgetBackoff(createStateAt(0), target);
    expect(target.backoffUntil).to.equal(undefined);
  });
});
