import { expect } from "chai";
import {
  expectWait,
  recordWait,
  type RunnerRoom,
  type WaitInputs,
} from "./expected_wait.ts";
import { createAdmission, queueOf } from "./waiting_queue.ts";

const FULL: RunnerRoom = {
  occupancy: 20,
  slots: 20,
  usableSlots: 20,
  opensInMs: 0,
};

function waitOf(changes: Partial<WaitInputs>): number {
  const inputs = {
    rooms: [FULL],
    holdingMs: 2_000,
    share: 1,
    ahead: 0,
    ratio: 1,
  };
  return expectWait({ ...inputs, ...changes }).ms;
}

describe("expected wait", () => {
  it("is the time in which a slot comes free for each request before it", () => {
    expect(waitOf({})).to.be.closeTo(100, 0.001);
    expect(waitOf({ ahead: 3 })).to.be.closeTo(400, 0.001);
    expect(waitOf({ rooms: [FULL, FULL] })).to.be.closeTo(50, 0.001);
  });

  it("grows where other daemons take most of what comes free", () => {
    expect(waitOf({ share: 0.1 })).to.be.closeTo(1_000, 0.001);
  });

  it("covers the requests beyond the usable slots, which have to leave first", () => {
    const room = { ...FULL, usableSlots: 17 };
    expect(waitOf({ rooms: [room] })).to.be.closeTo(400, 0.001);
  });

  it("ends when a runner with free slots takes requests again", () => {
    const limited = { ...FULL, occupancy: 2, opensInMs: 70 };
    expect(waitOf({ rooms: [limited] })).to.equal(70);
    expect(waitOf({ rooms: [limited], ahead: 1 })).to.equal(Infinity);
  });

  it("is unbounded where no runner has anything to free", () => {
    expect(waitOf({ rooms: [] })).to.equal(Infinity);
  });

  it("follows the waits that were measured", () => {
    const queue = queueOf(createAdmission(), "k", { now: 0 });
    const { in_time: ratio } = queue.waitRatios;
    for (let count = 0; count < 100; count += 1) {
      recordWait(queue, {
        waitClass: "in_time",
        expectedMs: 100 * ratio.value,
        waitedMs: 300,
        isServed: true,
      });
    }
    expect(ratio.value).to.be.closeTo(3, 0.01);
  });
});
