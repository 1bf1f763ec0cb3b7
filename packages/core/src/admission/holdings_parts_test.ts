import { expect } from "chai";
import {
  addHoldings,
  createHoldingsSharing,
  currentParts,
  HOLDINGS_SILENCE_MS,
  keepSent,
  largestHoldings,
  MAX_HOLDING_ROWS,
  withoutOwn,
} from "./holdings_parts.ts";
import type { HoldingsReport, ZoneHolding } from "./types.ts";

function createRow(
  route: string,
  requests: number,
  changes: Partial<ZoneHolding> = {},
): ZoneHolding {
  return {
    route,
    team: "t",
    requests,
    tokens: requests * 1_000,
    waiting: 0,
    ...changes,
  };
}

function createReport(ids: number[], rows: ZoneHolding[]): HoldingsReport {
  return { zone: "z", ids, ageMs: 0, rows };
}

describe("counts of several daemons", () => {
  it("add up by route and team, and by route where callers have no team", () => {
    const rows = [
      createRow("a", 1),
      createRow("a", 2, { waiting: 3 }),
      createRow("a", 4, { team: undefined }),
    ];
    expect(addHoldings(rows)).to.deep.equal([
      createRow("a", 3, { waiting: 3 }),
      createRow("a", 4, { team: undefined }),
    ]);
  });

  // Guards against messages that grow with the teams of a deployment.
  it("are held to the largest rows", () => {
    const rows = Array.from(
      { length: 100 },
      (_, index) => createRow(`r${index}`, index),
    );
    const largest = largestHoldings(rows);
    expect(largest).to.have.lengthOf(MAX_HOLDING_ROWS);
    expect(largest[0]).to.deep.equal(createRow("r99", 99));
  });

  // Guards against a part that is taken out though the sum holds an earlier one, or none.
  it("lose the own report that they contain, and no other", () => {
    const sharing = createHoldingsSharing();
    keepSent(sharing, createReport([1], [createRow("a", 2)]));
    keepSent(sharing, createReport([2], [createRow("a", 5)]));
    const sum = [createRow("a", 6), createRow("b", 1)];
    expect(withoutOwn(sharing, createReport([9, 1], sum))).to.deep.equal([
      createRow("a", 4),
      createRow("b", 1),
    ]);
    expect(withoutOwn(sharing, createReport([9], sum))).to.deep.equal(sum);
  });

  // Guards against rows below zero where a sum left a small row out.
  it("are never negative", () => {
    const sharing = createHoldingsSharing();
    keepSent(sharing, createReport([1], [createRow("a", 5)]));
    const sum = createReport([1], [createRow("a", 2)]);
    expect(withoutOwn(sharing, sum)).to.deep.equal([]);
  });

  it("are dropped after a silence", () => {
    const sharing = createHoldingsSharing();
    const report = createReport([1], [createRow("a", 1)]);
    sharing.parts.set("f", { report, heardAt: 0 });
    expect(currentParts(sharing, { now: HOLDINGS_SILENCE_MS }))
      .to.have.lengthOf(1);
    expect(currentParts(sharing, { now: HOLDINGS_SILENCE_MS + 1 }))
      .to.have.lengthOf(0);
    expect(sharing.parts.size).to.equal(0);
  });
});
