import { expect } from "chai";
import { sumSchedules } from "./benches.ts";
import { runSchedule } from "./schedule.ts";

const SCHEDULES = 300;

describe("random schedules of bookings, configurations and faults", () => {
  it("run nothing twice, never say not run of what ran, and never revert", () => {
    expect(sumSchedules(50_000, SCHEDULES)).to.deep.equal({
      runTwice: 0,
      falselyNotRun: 0,
      untold: 0,
      reversions: 0,
      differentFolds: 0,
    });
  });

  it("serve bookings and replay repeated keys while doing so", () => {
    const codes = new Set<string>();
    for (let seed = 1; seed <= 50; seed++) {
      const { told } = runSchedule({
        seed,
        entries: 3,
        bookings: 12,
        keys: 4,
        configs: 4,
        faults: 4,
      });
      for (const { code } of told) codes.add(code);
    }
    expect([...codes]).to.include.members([
      "ok",
      "replayed",
      "log_unavailable",
      "key_in_use",
    ]);
  });

  it("refuse no keyed booking for want of the log while it is up", () => {
    for (let seed = 1; seed <= 30; seed++) {
      const { told } = runSchedule({
        seed,
        entries: 3,
        bookings: 12,
        keys: 4,
        configs: 4,
        faults: 0,
      });
      expect(told.filter(({ code }) => code === "log_unavailable")).to.deep
        .equal([]);
    }
  });
});
