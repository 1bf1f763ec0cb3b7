import { expect } from "chai";
import { isHeld } from "../quarantine/mod.ts";
import { createFleet, type SimulatedFleet } from "./test_fleet.ts";

const HELD = { part: "bad", round: 0, crashes: 3, trials: 0 };

function knownAt({ daemons }: SimulatedFleet): boolean[] {
  return daemons.map(({ harness }) =>
    isHeld(harness.state.quarantine.suspects.get(HELD.part)?.record)
  );
}

describe("parts of prompts under suspicion", () => {
  it("reach all daemons through those that read the store", () => {
    const fleet = createFleet({ a: 6, b: 5 });
    fleet.advance(3_000);
    for (const { harness } of fleet.readers()) {
      const effects = harness.feed({
        kind: "parts_read",
        readings: [{ record: HELD, ageMs: 0 }],
      });
      for (const effect of effects) {
        if (effect.kind !== "send_to_followers") continue;
        fleet.deliver(harness, effect);
      }
    }
    expect(knownAt(fleet)).to.deep.equal(fleet.daemons.map(() => true));
  });

  it("reach a daemon that follows another one later", () => {
    const fleet = createFleet({ a: 4 });
    fleet.advance(3_000);
    const follower = fleet.daemons.find(({ upstream }) =>
      upstream !== undefined
    )!;
    const [reader] = fleet.readers();
    reader!.harness.feed({
      kind: "parts_read",
      readings: [{ record: HELD, ageMs: 0 }],
    });
    expect(follower.harness.state.quarantine.suspects.size).to.equal(0);
    fleet.resetUpstream(follower);
    fleet.advance(5_000);
    expect(
      isHeld(follower.harness.state.quarantine.suspects.get("bad")?.record),
    )
      .to.equal(true);
  });
});
