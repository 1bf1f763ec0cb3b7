import { expect } from "chai";
import type { EventBody } from "../event/types.ts";
import { reduce } from "../reduce.ts";
import { createState } from "../state/create_state.ts";
import { appendRecord, createRecord } from "./append.ts";
import type { LogRecord, StoredRecord } from "./types.ts";

const HOUR_MS = 3_600_000;
const RECORDS = 500;
/** The budget of 300 records a second, divided among nine entries. */
const MAX_PER_SECOND = 33;
const NODE = {
  name: "e",
  zone: "z",
  site: "z",
  incarnation: "1",
  balancerLagMs: 0,
};
const CONFIG: LogRecord = {
  type: "config",
  basedOn: 0,
  document: {
    base: {
      version: 1,
      owners: { tavua: { share: 1, teams: {} } },
      deployments: {},
    },
    overlays: {},
  },
  author: "a",
  id: "c",
  level: 1,
};

describe("appends during an hour-long outage of the log", () => {
  it("are retried under the same ids in bounded batches and reach the log once each", () => {
    const state = createState(NODE, { seed: 1, now: 0 });
    const log: StoredRecord[] = [{ offset: 1, at: 0, record: CONFIG }];
    let now = 0;
    let isUp = true;
    let largest = 0;
    const perSecond = new Map<number, number>();

    function feed(event: EventBody): void {
      for (const effect of reduce(state, { ...event, at: now })) {
        if (effect.kind === "append") append(effect.records);
      }
    }

    function append(records: readonly LogRecord[]): void {
      const second = Math.floor(now / 1_000);
      largest = Math.max(largest, records.length);
      if (isUp) {
        perSecond.set(second, (perSecond.get(second) ?? 0) + records.length);
        for (const record of records) {
          log.push({ offset: log.length + 1, at: now, record });
        }
      }
      feed({
        kind: "append_completed",
        ids: records.map(({ id }) => id),
        stored: isUp,
      });
    }

    function read(): void {
      if (!isUp) return feed({ kind: "log_unreachable" });
      const records = structuredClone(log.slice(state.fold.next - 1));
      feed({ kind: "log_read", records, head: log.length, horizon: 1 });
    }

    read();
    isUp = false;
    for (let count = 0; count < RECORDS; count++) {
      const record = createRecord(state, {
        type: "claim",
        key: `k${count}`,
        digest: "d",
        entry: "e#1",
      });
      for (const effect of appendRecord(state, record)) {
        if (effect.kind === "append") append(effect.records);
      }
    }
    for (; now < HOUR_MS; now += 500) {
      read();
      feed({ kind: "tick" });
    }
    expect(state.ready).to.equal(true);
    expect(state.log.pending.size).to.be.within(RECORDS, RECORDS + 5);
    isUp = true;
    const recoveredAt = now;
    while (state.log.pending.size > 0 && now < recoveredAt + 30_000) {
      now += 250;
      read();
      feed({ kind: "tick" });
    }
    const ids = log.map(({ record }) => record.id);
    expect(state.fold.claims.size).to.equal(RECORDS);
    expect(new Set(ids).size).to.equal(ids.length);
    expect(now - recoveredAt).to.be.at.most(30_000);
    expect(largest).to.be.at.most(MAX_PER_SECOND);
    expect(Math.max(...perSecond.values())).to.be.at.most(MAX_PER_SECOND);
  });
});
