import { expect } from "chai";
import type { EventBody } from "../event/types.ts";
import { reduce } from "../reduce.ts";
import { createState } from "../state/create_state.ts";
import type { StoredRecord } from "./types.ts";

function createClaim(offset: number, key: string): StoredRecord {
  return {
    offset,
    at: 0,
    record: { type: "claim", key, digest: "d", entry: "e", id: key, level: 1 },
  };
}

describe("a log that comes back from an older copy", () => {
  // Guards against records that are never folded, since their offsets had been folded before.
  it("is read on from where it ends now", () => {
    const state = createState({
      name: "entry-1",
      zone: "suva-a",
      site: "suva-a",
      incarnation: "1",
      balancerLagMs: 0,
    }, { seed: 1, now: 0 });
    const feed = (event: EventBody) => reduce(state, { ...event, at: 0 });
    const records = [1, 2, 3, 4].map((offset) =>
      createClaim(offset, `k${offset}`)
    );
    feed({ kind: "log_read", records, head: 4, horizon: 1 });
    feed({ kind: "log_read", records: [], head: 2, horizon: 1 });
    feed({
      kind: "log_read",
      records: [createClaim(3, "new")].filter(({ offset }) =>
        offset >= state.fold.next
      ),
      head: 3,
      horizon: 1,
    });
    expect(state.fold.seen.has("new")).to.equal(true);
    expect(state.fold.seen.has("k4")).to.equal(true);
  });
});
