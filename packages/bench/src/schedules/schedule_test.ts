import { expect } from "chai";
import { sumScheduleViolations } from "./benches.ts";
import { runSchedule } from "./schedule.ts";

const SCHEDULES = 300;

describe("random schedules of bookings, configurations and faults", () => {
  it("never run a booking twice, report not_run for one that ran, respond twice or revert the configuration", () => {
    expect(sumScheduleViolations(50_000, SCHEDULES)).to.deep.equal({
      runTwice: 0,
      falselyNotRun: 0,
      untold: 0,
      reversions: 0,
      differentFolds: 0,
    });
  });

  it("serve bookings and replay the responses of repeated keys", () => {
    const codes = new Set<string>();
    for (let seed = 1; seed <= 50; seed++) {
      const { responses } = runSchedule({
        seed,
        entries: 3,
        bookings: 12,
        keys: 4,
        configs: 4,
        faults: 4,
      });
      for (const { code } of responses) codes.add(code);
    }
    expect([...codes]).to.include.members([
      "ok",
      "replayed",
      "log_unavailable",
      "key_in_use",
    ]);
  });

  it("never refuse a booking as log_unavailable while the log is reachable", () => {
    for (let seed = 1; seed <= 30; seed++) {
      const { responses } = runSchedule({
        seed,
        entries: 3,
        bookings: 12,
        keys: 4,
        configs: 4,
        faults: 0,
      });
      expect(responses.filter(({ code }) => code === "log_unavailable")).to.deep
        .equal([]);
    }
  });
});
