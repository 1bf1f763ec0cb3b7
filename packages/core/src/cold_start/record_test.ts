import { expect } from "chai";
import {
  createHarness,
  createRunner,
  effectsOf,
  type GatewayHarness,
  publish,
} from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import { createColdDocument } from "../pacing/test_cold_fleet.ts";
import type { Effect } from "../effect/types.ts";
import { isCold, slowStartFactor } from "./cold_runners.ts";
import { coolZone } from "./record.ts";

const DURATION_MS = 3_000;

interface Fixture {
  harness: GatewayHarness;
  /** Reads an entry of the runner; `isWhole` where it is the complete list. */
  read(changes: Partial<Runner>, options?: { isWhole?: boolean }): Effect[];
  isCold(): boolean;
  /** Time for which the runner stays cold from now on, ms, in steps of 100 ms. */
  coldFor(): number;
}

function createFixture({ document = createColdDocument() } = {}): Fixture {
  const harness = createHarness();
  publish(harness, { document });
  const cold = () => isCold(harness.state, createRunner("desk-0"));
  return {
    harness,
    read: (changes, { isWhole = false } = {}) =>
      harness.feed({
        kind: "runners_read",
        runners: [createRunner("desk-0", changes)],
        removedIds: [],
        isWhole,
        position: { timeline: 1, offset: 1 },
        confirmedAt: harness.state.now,
      }),
    isCold: cold,
    coldFor() {
      const from = harness.state.now;
      while (cold()) harness.advance(100);
      return harness.state.now - from;
    },
  };
}

function logged(effects: readonly Effect[], event: string) {
  return effectsOf(effects, "log").filter((each) => each.event === event);
}

describe("the record of cold runners", () => {
  it("counts the time that an entry names from when it is heard", () => {
    const { harness, read, coldFor } = createFixture();
    harness.advance(500);
    const effects = read({ writeCount: 1, coldForMs: 2_000 });
    expect(logged(effects, "runner_cold")).to.have.length(1);
    expect(coldFor()).to.equal(2_000);
    const warm = logged(harness.effects, "runner_warm");
    expect(warm.map(({ fields }) => fields.runner)).to.deep.equal(["desk-0"]);
  });

  // Guards against an entry that was written while the runner was warm and arrives after a newer one.
  it("ignores an entry of an older copy of the store", () => {
    const { read, coldFor } = createFixture();
    read({ writeCount: 4, coldForMs: 3_000 });
    read({ writeCount: 2, coldForMs: 0 });
    read({ writeCount: 3, coldForMs: 100 }, { isWhole: true });
    expect(coldFor()).to.equal(3_000);
  });

  // Guards against a list that is read again every few seconds and keeps a warm runner cold without end.
  it("does not count the same entry twice", () => {
    const { harness, read, coldFor } = createFixture();
    read({ writeCount: 1, coldForMs: 3_000 });
    harness.advance(2_000);
    read({ writeCount: 1, coldForMs: 3_000 }, { isWhole: true });
    expect(coldFor()).to.equal(1_000);
  });

  it("does not let an entry that is gone and comes back shorten the time", () => {
    const { harness, read, coldFor } = createFixture();
    read({ writeCount: 5, coldForMs: 3_000 });
    harness.feed({
      kind: "runners_read",
      runners: [],
      removedIds: ["desk-0"],
      isWhole: false,
      position: { timeline: 1, offset: 2 },
      confirmedAt: undefined,
    });
    read({ writeCount: 3, coldForMs: 10 });
    expect(coldFor()).to.equal(3_000);
  });

  it("knows a runner that turns cold again in the same process", () => {
    const { harness, read, isCold } = createFixture();
    read({ writeCount: 1, coldForMs: 1_000 });
    harness.advance(8_000);
    expect(isCold()).to.equal(false);
    read({ writeCount: 2, coldForMs: 1_000 });
    expect(isCold()).to.equal(true);
  });

  // Guards against a restart whose entry does not say yet that the new process is cold.
  it("takes a new process for cold that does not say so", () => {
    const { harness, read, coldFor } = createFixture();
    read({ writeCount: 9 });
    harness.advance(1_000);
    read({ writeCount: 1, startedUnixMs: 2 });
    expect(coldFor()).to.equal(DURATION_MS);
  });

  it("hears of it in the answer to a health check", () => {
    const { harness, read, coldFor } = createFixture();
    read({ writeCount: 1 });
    harness.feed({
      kind: "runner_checked",
      runner: "desk-0",
      status: "alive",
      report: { running: 0, queued: 0, coldForMs: 700 },
    });
    expect(coldFor()).to.equal(700);
  });

  it("takes the runners of a zone for cold once its evacuation is lifted", () => {
    const { harness, read, coldFor } = createFixture();
    read({ writeCount: 1 });
    expect([...coolZone(harness.state, "suva-b")]).to.deep.equal([]);
    const effects = [...coolZone(harness.state, "suva-a")];
    expect(logged(effects, "zone_cold")[0]!.fields.runners).to.equal(1);
    expect(coldFor()).to.equal(DURATION_MS);
  });

  it("believes the entry that follows the end of an evacuation", () => {
    const { harness, read, coldFor } = createFixture();
    read({ writeCount: 1 });
    expect([...coolZone(harness.state, "suva-a")]).to.have.length(2);
    read({ writeCount: 2, coldForMs: 1_000 });
    expect(coldFor()).to.equal(1_000);
  });

  // Guards against an entry that was written before the end of the evacuation, and arrives after it.
  it("stays on the long side where the entry that follows names no time", () => {
    const { harness, read, coldFor } = createFixture();
    read({ writeCount: 1 });
    expect([...coolZone(harness.state, "suva-a")]).to.have.length(2);
    read({ writeCount: 2 });
    expect(coldFor()).to.equal(DURATION_MS);
  });

  it("lets the share of a runner grow once it is warm, and then forgets it", () => {
    const { harness, read } = createFixture();
    const factor = () => slowStartFactor(harness.state, createRunner("desk-0"));
    read({ writeCount: 1, coldForMs: 1_000 });
    expect(factor()).to.equal(1);
    harness.advance(1_000);
    expect(factor()).to.equal(0.2);
    harness.advance(DURATION_MS / 2);
    expect(factor()).to.be.closeTo(0.6, 0.001);
    harness.advance(DURATION_MS);
    expect(factor()).to.equal(1);
    expect(harness.state.gateway!.coldRunners.size).to.equal(0);
  });

  // Guards against a limit on services whose configuration names no cold start.
  it("has no effect on a service without a cold start", () => {
    const document = createColdDocument();
    const services = [{ name: "desk", engine: undefined }];
    const { harness, read, isCold } = createFixture({
      document: { ...document, services },
    });
    const effects = read({ writeCount: 1, coldForMs: 3_000 });
    effects.push(...read({ writeCount: 1, startedUnixMs: 2 }));
    effects.push(...coolZone(harness.state, "suva-a"));
    expect(isCold()).to.equal(false);
    expect(logged(effects, "runner_cold")).to.deep.equal([]);
  });
});
