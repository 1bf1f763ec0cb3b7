import { expect } from "chai";
import {
  createDocument,
  createHarness,
  createRunner,
  effectsOf,
  type GatewayHarness,
} from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import { DEPARTED_MS, FLOOR_WAIT_MS, REWRITE_MS } from "./constants.ts";

const document = (version: number) => ({ ...createDocument(), version });

/** Feeds what a read of the store returned: its timeline, the configuration and the whole list of runners. */
function read(
  harness: GatewayHarness,
  { timeline, version, runners }: {
    timeline: number;
    version: number;
    runners: Runner[];
  },
) {
  const confirmedAt = harness.state.now;
  return [
    ...harness.feed({ kind: "timeline_seen", timeline }),
    ...harness.feed({
      kind: "routing_read",
      document: document(version),
      confirmedAt,
    }),
    ...harness.feed({
      kind: "runners_read",
      runners,
      removedIds: [],
      isWhole: true,
      position: { timeline, offset: 1 },
      confirmedAt,
    }),
  ];
}

/** Creates a daemon that reads version 5 and the given runners in timeline 1. */
function startReader(runners: Runner[]): GatewayHarness {
  const harness = createHarness({ firstStart: true });
  read(harness, { timeline: 1, version: 5, runners });
  return harness;
}

const listed = (
  { state }: GatewayHarness,
) => [...state.gateway!.runners.keys()];
const inForce = ({ state }: GatewayHarness) =>
  state.gateway!.routing?.document.version;

describe("a daemon whose store was restored from an older copy", () => {
  // Guards against runners that are dropped since they registered after the copy was taken.
  it("keeps runners that are not listed yet, and drops them where they stay away", () => {
    const [old, late] = [createRunner("old"), createRunner("late")];
    const harness = startReader([old, late]);
    read(harness, { timeline: 2, version: 5, runners: [old] });
    expect(listed(harness)).to.have.members(["old", "late"]);
    const effects = harness.advance(REWRITE_MS + 100);
    expect(effectsOf(effects, "reread_runners")).to.have.length(1);
    read(harness, { timeline: 2, version: 5, runners: [old] });
    expect(listed(harness)).to.deep.equal(["old"]);
  });

  // Guards against a runner that left before the restoration and is sent requests again.
  it("takes back no runner that had left, unless it is still listed some time later", () => {
    const [old, gone] = [createRunner("old"), createRunner("gone")];
    const harness = startReader([old, gone]);
    read(harness, { timeline: 1, version: 5, runners: [old] });
    read(harness, { timeline: 2, version: 5, runners: [old, gone] });
    expect(listed(harness)).to.deep.equal(["old"]);
    harness.advance(DEPARTED_MS);
    read(harness, { timeline: 2, version: 5, runners: [old, gone] });
    expect(listed(harness)).to.have.members(["old", "gone"]);
  });

  // Guards against runners that are given up since an upstream passes on only those that serve requests.
  it("takes back a runner that its upstream has only left out", () => {
    const runner = createRunner("r");
    const harness = startReader([runner]);
    harness.feed({
      kind: "runners_read",
      runners: [],
      removedIds: ["r"],
      departedIds: [],
      isWhole: false,
      position: { timeline: 1, offset: 2 },
      confirmedAt: undefined,
    });
    read(harness, { timeline: 2, version: 5, runners: [runner] });
    expect(listed(harness)).to.deep.equal(["r"]);
  });

  // Guards against an entry of the copy that replaces a newer one of the same process.
  it("ignores entries that their runner has written before those it knows", () => {
    const runner = createRunner("r");
    const harness = startReader([{ ...runner, writeCount: 7, slots: 9 }]);
    read(harness, {
      timeline: 2,
      version: 5,
      runners: [{ ...runner, writeCount: 6, slots: 3 }],
    });
    expect(harness.state.gateway!.runners.get("r")!.slots).to.equal(9);
  });

  // Guards against a store that confirms a configuration while it holds an older one.
  it("counts no read as a confirmation while the store holds an older configuration", () => {
    const harness = startReader([]);
    harness.advance(1_000);
    const { routingFreshness } = harness.state.gateway!;
    const before = routingFreshness.confirmedAt;
    read(harness, { timeline: 2, version: 4, runners: [] });
    expect(routingFreshness.confirmedAt).to.equal(before);
    expect(inForce(harness)).to.equal(5);
    read(harness, { timeline: 2, version: 5, runners: [] });
    expect(routingFreshness.confirmedAt).to.equal(1_000);
  });

  it("writes again what it knows of crashing parts, and what was in force", () => {
    const harness = startReader([]);
    const record = { part: "p", round: 1, crashes: 3, trials: 0 };
    harness.feed({ kind: "parts_read", readings: [{ record, ageMs: 0 }] });
    const effects = read(harness, { timeline: 2, version: 4, runners: [] });
    expect(effectsOf(effects, "share_parts")).to.deep.equal([
      { kind: "share_parts", records: [record] },
    ]);
    expect(effectsOf(effects, "record_floor")).to.deep.equal([
      { kind: "record_floor", floor: { timeline: 2, version: 5 } },
    ]);
  });
});

// Guards against a floor that nobody records, since followers had learned of the timeline before they read the store.
describe("a daemon that begins to read the store after it has learned of its new timeline", () => {
  it("records what it had in force", () => {
    const harness = startReader([]);
    const { readSharing } = harness.state.gateway!;
    readSharing.isReading = false;
    harness.feed({ kind: "timeline_seen", timeline: 2 });
    readSharing.isReading = true;
    const effects = harness.advance(100);
    expect(effectsOf(effects, "record_floor").map(({ floor }) => floor))
      .to.deep.equal([{ timeline: 2, version: 5 }]);
  });
});

describe("a daemon that starts after a restoration of the store", () => {
  function start(version: number): GatewayHarness {
    const harness = createHarness();
    read(harness, { timeline: 2, version, runners: [] });
    return harness;
  }
  const readFloor = (harness: GatewayHarness, version: number) =>
    harness.feed({ kind: "floors_read", floors: [{ timeline: 2, version }] });

  it("begins at once with what the store holds where that is not older than the floor", () => {
    const harness = start(5);
    expect(inForce(harness)).to.equal(undefined);
    readFloor(harness, 5);
    expect(inForce(harness)).to.equal(5);
  });

  // Guards against withdrawn keys and dropped routes that are in force again at a daemon that starts.
  it("waits for the configuration that was in force before", () => {
    const harness = start(4);
    readFloor(harness, 5);
    harness.advance(FLOOR_WAIT_MS + 1_000);
    expect(inForce(harness)).to.equal(undefined);
    read(harness, { timeline: 2, version: 5, runners: [] });
    expect(inForce(harness)).to.equal(5);
  });

  it("begins after some time where no daemon has lived to tell", () => {
    const harness = start(4);
    harness.advance(FLOOR_WAIT_MS + 100);
    expect(inForce(harness)).to.equal(4);
  });
});
