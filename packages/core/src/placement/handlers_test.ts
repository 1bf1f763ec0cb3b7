import { expect } from "chai";
import {
  createHarness,
  effectsOf,
  type GatewayHarness,
  publish,
} from "../gateway/test_fixture.ts";
import { createFleet } from "../read_sharing/test_fleet.ts";
import { REWRITE_MS } from "../store_timeline/constants.ts";
import { listEvacuatedZones } from "./evacuations.ts";
import { createDesks, evacuate } from "./test_zones.ts";

const evacuated = ({ state }: GatewayHarness) =>
  listEvacuatedZones(state.gateway!);
const at = (timeline: number, offset: number) => ({ timeline, offset });

function startDaemon(): GatewayHarness {
  const harness = createHarness();
  harness.feed({ kind: "timeline_seen", timeline: 1 });
  publish(harness, { runners: createDesks() });
  return harness;
}

function change(
  harness: GatewayHarness,
  zones: { evacuated?: string[]; lifted?: string[] },
  position: { timeline: number; offset: number },
) {
  return harness.feed({
    kind: "evacuations_changed",
    evacuated: [],
    lifted: [],
    ...zones,
    position,
  });
}

describe("evacuations that are read from the store", () => {
  it("come into force with each change, and are replaced by a whole read", () => {
    const harness = startDaemon();
    evacuate(harness, ["a"], at(1, 1));
    change(harness, { evacuated: ["b"] }, at(1, 2));
    expect(evacuated(harness)).to.deep.equal(["a", "b"]);
    change(harness, { lifted: ["a"] }, at(1, 3));
    expect(evacuated(harness)).to.deep.equal(["b"]);
    evacuate(harness, ["c"], at(1, 9));
    expect(evacuated(harness)).to.deep.equal(["c"]);
  });

  it("are logged once, with the zone", () => {
    const harness = startDaemon();
    const effects = [
      ...evacuate(harness, ["a"], at(1, 1)),
      ...evacuate(harness, ["a"], at(1, 2)),
      ...evacuate(harness, [], at(1, 3)),
    ];
    const logged = effectsOf(effects, "log").map(({ event, fields }) =>
      `${event} ${fields!.zone}`
    );
    expect(logged).to.deep.equal(["zone_evacuated a", "evacuation_lifted a"]);
  });

  // Guards against a daemon that changes its source and goes back to a set that is older than what it knew.
  it("are not replaced by an older set", () => {
    const harness = startDaemon();
    evacuate(harness, ["a"], at(1, 9));
    evacuate(harness, [], at(1, 8));
    change(harness, { lifted: ["a"] }, at(1, 8));
    expect(evacuated(harness)).to.deep.equal(["a"]);
    evacuate(harness, [], at(1, 9));
    expect(evacuated(harness)).to.deep.equal([]);
  });
});

describe("evacuations known before the store came back from an older copy", () => {
  function startRestored(): GatewayHarness {
    const harness = startDaemon();
    evacuate(harness, ["a", "b"], at(1, 9));
    evacuate(harness, ["b"], at(2, 5));
    return harness;
  }

  // Guards against an evacuation that a restoration of the store lifts.
  it("stay in force until the copy has settled", () => {
    const harness = startRestored();
    expect(evacuated(harness)).to.deep.equal(["a", "b"]);
    harness.advance(REWRITE_MS - 100);
    expect(evacuated(harness)).to.deep.equal(["a", "b"]);
    harness.advance(200);
    expect(evacuated(harness)).to.deep.equal(["b"]);
  });

  it("stay in force for good where they are written again", () => {
    const harness = startRestored();
    change(harness, { evacuated: ["a"] }, at(2, 6));
    harness.advance(REWRITE_MS + 100);
    expect(evacuated(harness)).to.deep.equal(["a", "b"]);
  });

  // Guards against an operator's order that has no effect while the store is written again.
  it("are lifted where an operator deletes the key meanwhile", () => {
    const harness = startRestored();
    change(harness, { lifted: ["a"] }, at(2, 6));
    expect(evacuated(harness)).to.deep.equal(["b"]);
  });

  // Guards against a follower that hears of the evacuations before it hears of the new timeline.
  it("stay in force where an upstream passes on the older set first", () => {
    const harness = startDaemon();
    evacuate(harness, ["a"], at(1, 9));
    evacuate(harness, [], at(2, 5));
    evacuate(harness, [], at(2, 7));
    expect(evacuated(harness)).to.deep.equal(["a"]);
  });
});

describe("evacuations in a fleet that shares its reads", () => {
  const POLL_MS = 400;
  const known = (fleet: ReturnType<typeof createFleet>) =>
    fleet.daemons.filter(({ isUp }) => isUp).map(({ harness }) =>
      evacuated(harness).join()
    );

  // Guards against daemons that do not read the store and go on sending to the zone.
  it("reach every follower within a poll of the reader's read", () => {
    const fleet = createFleet({ a: 4, b: 4 });
    fleet.advance(3_000);
    fleet.store.evacuatedZones = ["a"];
    fleet.store.position.offset = 5;
    fleet.advance(1_000 + POLL_MS + 100);
    expect(new Set(known(fleet))).to.deep.equal(new Set(["a"]));
    fleet.store.evacuatedZones = [];
    fleet.store.position.offset = 6;
    fleet.advance(1_000 + POLL_MS + 100);
    expect(new Set(known(fleet))).to.deep.equal(new Set([""]));
  });

  // Guards against a daemon that the store turns away, and that hears of the evacuation too late from a neighbor.
  it("reach a daemon that the store turns away in the time allowed", () => {
    const fleet = createFleet({ a: 1, b: 1 });
    fleet.advance(3_000);
    const cutOff = fleet.daemon("a-0");
    cutOff.isCutFromStore = true;
    fleet.store.evacuatedZones = ["a"];
    fleet.store.position.offset = 5;
    fleet.advance(cutOff.harness.state.gateway!.settings.evacuateMs);
    expect(known(fleet)).to.deep.equal(["a", "a"]);
    expect(cutOff.upstream).to.include({ node: "b-0" });
  });

  // Guards against a follower that gets the configuration with the snapshot and the evacuations only later.
  it("are in the snapshot and in the answer to a poll", () => {
    const fleet = createFleet({ a: 2 }, { evacuatedZones: ["a"] });
    fleet.advance(2_000);
    const [reader] = fleet.readers();
    const effects = reader!.harness.feed({
      kind: "follower_polled",
      follower: "new",
      poll: 1,
      runnersPosition: at(0, 0),
    });
    const messages = effectsOf(effects, "send_to_followers").map((
      { message },
    ) => message);
    expect(messages.map(({ kind }) => kind)).to.deep.equal([
      "snapshot",
      "poll_answer",
    ]);
    for (const message of messages) {
      expect(message).to.have.property("evacuations").that.deep.equals({
        zones: ["a"],
        position: at(1, 1),
      });
    }
  });

  // Guards against a zone that is used again since its reader, and then its store, is gone.
  it("stay in force where the reader dies and the others lose the store", () => {
    const fleet = createFleet({ a: 3 });
    fleet.store.evacuatedZones = ["a"];
    fleet.advance(3_000);
    const [reader] = fleet.readers();
    reader!.isUp = false;
    for (const each of fleet.daemons) each.isCutFromStore = true;
    for (let ms = 0; ms < 8_000; ms += 200) {
      fleet.advance(200);
      expect(new Set(known(fleet))).to.deep.equal(new Set(["a"]));
    }
  });

  // Guards against a daemon that serves callers with a configuration but without the evacuations.
  it("are known to a follower when its first configuration comes into force", () => {
    const fleet = createFleet({ a: 3, b: 2 }, { evacuatedZones: ["b"] });
    let served = 0;
    for (let ms = 0; ms < 3_000; ms += 50) {
      fleet.advance(50);
      for (const { harness } of fleet.daemons) {
        if (harness.state.gateway!.routing === undefined) continue;
        served += 1;
        expect(evacuated(harness)).to.deep.equal(["b"]);
      }
    }
    expect(served).to.be.above(0);
  });
});
