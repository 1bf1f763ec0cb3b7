import { expect } from "chai";
import {
  beginRequest,
  closeConnection,
  type ConnectionTable,
  createConnectionTable,
  endRequest,
  openConnection,
} from "./mod.ts";

function fill(count: number): ConnectionTable<number> {
  const table = createConnectionTable<number>({ maxCount: count });
  for (let connection = 0; connection < count; connection += 1) {
    openConnection(table, connection, { now: connection });
  }
  return table;
}

describe("connections of callers", () => {
  it("stay open while there is room", () => {
    const table = fill(3);
    closeConnection(table, 1);
    expect(openConnection(table, 9, { now: 9 })).to.equal(undefined);
  });

  it("close where they have been without a request for longest", () => {
    const table = fill(3);
    beginRequest(table, 0);
    expect(openConnection(table, 9, { now: 9 })).to.equal(1);
    endRequest(table, 0, { now: 10 });
    expect(openConnection(table, 10, { now: 11 })).to.equal(2);
    expect(openConnection(table, 11, { now: 12 })).to.equal(9);
    expect(openConnection(table, 12, { now: 13 })).to.equal(0);
  });

  // Guards against a new connection that ends a request which is being read or answered.
  it("are refused where all have requests", () => {
    const table = fill(2);
    for (const connection of [0, 1]) beginRequest(table, connection);
    expect(openConnection(table, 9, { now: 9 })).to.equal(9);
    expect([...table.busy.keys()]).to.deep.equal([0, 1]);
  });

  it("with two requests are busy until both have ended", () => {
    const table = fill(1);
    beginRequest(table, 0);
    beginRequest(table, 0);
    endRequest(table, 0, { now: 1 });
    expect(table.busy.size).to.equal(1);
    endRequest(table, 0, { now: 2 });
    expect(table.idle.get(0)).to.equal(2);
  });
});
