import { expect } from "chai";
import fc from "fast-check";
import { createDocument } from "../gateway/test_fixture.ts";
import {
  nextWaitOf,
  pollDelayOf,
  READ_ALLOWANCE_MS,
  readTimesOf,
} from "./read_times.ts";
import { createFleet, type SimulatedDaemon } from "./test_fleet.ts";

const WAITS = { routingWaitMs: 1_000, runnersWaitMs: 1_500 };
const STEP_MS = 10;

function timesOf(boundMs: number) {
  return readTimesOf({ configApplyMs: boundMs, drainMs: boundMs, ...WAITS });
}

const versionOf = ({ harness }: SimulatedDaemon) =>
  harness.state.gateway!.routing?.document.version;
const isReading = ({ harness }: SimulatedDaemon) =>
  harness.state.gateway!.readSharing.isReading;

describe("times of reads", () => {
  it("leave time for a read within the smaller bound, after the usual age of data", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1_200, max: 20_000 }),
        fc.integer({ min: 1_200, max: 20_000 }),
        (configApplyMs, drainMs) => {
          const times = readTimesOf({ configApplyMs, drainMs, ...WAITS });
          const { routingWaitMs, runnersWaitMs } = times;
          const latestMs = times.ownReadAgeMs + times.ownReadSpreadMs;
          expect(latestMs + READ_ALLOWANCE_MS).to.be.at.most(
            Math.min(configApplyMs, drainMs),
          );
          const usualMs = Math.max(routingWaitMs, runnersWaitMs) * 1.05;
          expect(times.upstreamAgeMs).to.be.above(usualMs);
          expect(times.ownReadAgeMs).to.be.above(times.upstreamAgeMs);
        },
      ),
    );
  });

  it("let polls follow the upstream's confirmations", () => {
    const times = timesOf(2_000);
    const delay = (routingAgeMs: number | undefined) =>
      pollDelayOf({ routingAgeMs, runnersAgeMs: 0 }, times);
    expect(delay(0)).to.equal(400);
    expect(delay(800)).to.equal(280);
    expect(delay(1_200)).to.equal(100);
    expect(delay(undefined)).to.equal(100);
  });

  it("shorten the wait of a read by slow answers and by the age of the data", () => {
    const wait = (answerMs: number, ageMs: number) =>
      nextWaitOf(1_000, { answerMs, ageMs });
    expect(wait(8, 58)).to.equal(1_000);
    expect(wait(250, 50)).to.equal(600);
    expect(wait(8, 700)).to.equal(400);
    expect(wait(8, 1_500)).to.equal(50);
    expect(wait(9_000, 50)).to.equal(50);
  });

  // Guards against followers that leave a sound reader: each read that a change ends confirms only when it was sent.
  it("keep data at its usual age where changes come at any pace", () => {
    for (let changeEveryMs = 10; changeEveryMs < 3_000; changeEveryMs += 10) {
      let confirmedAt = 0;
      let oldestMs = 0;
      let nextChangeAt = changeEveryMs;
      for (let now = 0; now < 30_000;) {
        const sentAt = now;
        const ageMs = sentAt - confirmedAt;
        const waitMs = nextWaitOf(1_000, { answerMs: 5, ageMs });
        const isChanged = nextChangeAt <= sentAt + waitMs;
        now = Math.max(sentAt, isChanged ? nextChangeAt : sentAt + waitMs) + 5;
        while (nextChangeAt <= now) nextChangeAt += changeEveryMs;
        oldestMs = Math.max(oldestMs, now - confirmedAt);
        confirmedAt = isChanged ? sentAt : sentAt + waitMs * 0.95;
      }
      expect(oldestMs).to.be.at.most(1_000 * 1.05 + 110);
    }
  });
});

/** What happens to the daemon that reads the store. */
const FAULTS = ["cut_from_store", "silent", "stopped"] as const;

/** A fault of the daemon that reads the store for its zone, and a change of the configuration. */
interface Play {
  boundMs: number;
  fault: typeof FAULTS[number];
  daemons: number;
  answerMs: number;
  /** Time from a steady state to the fault, and from the fault to the change, ms. */
  faultAfterMs: number;
  changeAfterMs: number;
}

const STEADY_AFTER_MS = 2_500;

/** Returns the versions in force at the other daemons, once the bound has passed since the change. */
function versionsAfter(play: Play): (number | undefined)[] {
  const { boundMs, fault, daemons: a, answerMs } = play;
  const fleet = createFleet({ a, b: 2 }, {
    stepMs: STEP_MS,
    answerMs,
    readTimes: timesOf(boundMs),
  });
  const faultAt = STEADY_AFTER_MS + play.faultAfterMs;
  fleet.advance(faultAt);
  const reader = fleet.readers().find(({ entry }) => entry.zone === "a")!;
  if (fault === "cut_from_store") reader.isCutFromStore = true;
  if (fault === "silent") reader.silentSince = faultAt;
  if (fault === "stopped") reader.isUp = false;
  fleet.advance(play.changeAfterMs);
  fleet.store.document = createDocument({ version: 2 });
  fleet.store.changedAt = faultAt + play.changeAfterMs;
  fleet.advance(boundMs);
  return fleet.daemons.filter((each) => each !== reader).map(versionOf);
}

function expectInForce(play: Play): void {
  const versions = versionsAfter(play);
  expect(versions, JSON.stringify(play)).to.deep.equal(versions.map(() => 2));
}

describe("the followers of a daemon that cannot read the store", () => {
  // Guards against review case 9: the followers of a daemon that was cut off from the store used the configuration
  // before for up to 2.4 s.
  for (const fault of FAULTS) {
    it(`have a change in force in time, in each phase of its reads (${fault})`, () => {
      for (let faultAfterMs = 0; faultAfterMs < 1_200; faultAfterMs += 40) {
        expectInForce({
          boundMs: 2_000,
          fault,
          daemons: 4,
          answerMs: 5,
          faultAfterMs,
          changeAfterMs: STEP_MS,
        });
      }
    });
  }

  it("have a change in force in time, whatever the bound and the times of fault and change", () => {
    const plays: fc.Arbitrary<Play> = fc.record({
      boundMs: fc.constantFrom(1_500, 2_000, 3_000, 4_000),
      fault: fc.constantFrom(...FAULTS),
      daemons: fc.integer({ min: 2, max: 6 }),
      answerMs: fc.integer({ min: 1, max: 120 }),
      faultAfterMs: fc.integer({ min: 0, max: 130 }).map((step) => step * 10),
      changeAfterMs: fc.integer({ min: 0, max: 130 }).map((step) => step * 10),
    });
    fc.assert(fc.property(plays, expectInForce), { numRuns: 60, seed: 56 });
  });
});

/** Reads of a daemon on average during an outage of the store and until all follow one daemon a zone again. */
const MAX_READS = 4;

describe("reads of the store in a large fleet", () => {
  const ZONES = { a: 20, b: 20, c: 20 };

  for (const answerMs of [5, 200, 400]) {
    it(`stay those of one daemon a zone where the store takes ${answerMs} ms for an answer`, () => {
      const fleet = createFleet(ZONES, { answerMs, readTimes: timesOf(2_000) });
      fleet.advance(3_000);
      const before = fleet.daemons.filter((each) => !isReading(each));
      const reads = before.map((each) => each.reads);
      fleet.advance(30_000);
      expect(before.map((each) => each.reads)).to.deep.equal(reads);
    });
  }

  for (const outageMs of [1_500, 2_500, 6_000]) {
    for (const boundMs of [2_000, 3_000, 4_000]) {
      // Guards against a herd: each follower that turns to a store which is away reads all data once it is back.
      it(`go back to one daemon a zone after an outage of ${outageMs} ms (bound ${boundMs} ms)`, () => {
        const fleet = createFleet(ZONES, {
          answerMs: 5,
          readTimes: timesOf(boundMs),
        });
        fleet.advance(5_000);
        const before = fleet.daemons.map((each) => each.reads);
        for (const each of fleet.daemons) each.isCutFromStore = true;
        fleet.advance(outageMs);
        for (const each of fleet.daemons) each.isCutFromStore = false;
        fleet.advance(10_000);
        const added = fleet.daemons.map((each, index) =>
          each.reads - before[index]!
        );
        const addedReads = added.reduce((sum, count) => sum + count);
        expect(addedReads).to.be.at.most(MAX_READS * fleet.daemons.length);
        expect(fleet.readers()).to.have.length(3);
      });
    }
  }
});
