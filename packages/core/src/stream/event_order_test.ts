import { expect } from "chai";
import fc from "fast-check";
import {
  advanceOrder,
  createEventOrder,
  type EventAction,
  type EventMark,
  type EventOrder,
} from "./event_order.ts";

const numbered = (id: number | string): EventMark => ({
  id: String(id),
  hasData: true,
});
const UNNUMBERED: EventMark = { id: undefined, hasData: true };
const COMMENT: EventMark = { id: undefined, hasData: false };

/** Lets a run begin, and returns what becomes of its events. */
function run(order: EventOrder, events: readonly EventMark[]): EventAction[] {
  order.isNewRun = true;
  return events.map((event) => advanceOrder(order, event));
}

describe("advanceOrder", () => {
  it("passes on a run that goes on after the last event", () => {
    const order = createEventOrder(undefined);
    run(order, [numbered(1), COMMENT, numbered(2)]);
    expect(run(order, [COMMENT, numbered(3), numbered(4)]))
      .to.deep.equal(["pass_on", "pass_on", "pass_on"]);
  });

  it("finds a new run that begins at the first event, at the last one, or leaves one out", () => {
    for (const first of [1, 3, 5]) {
      const order = createEventOrder(undefined);
      run(order, [1, 2, 3].map(numbered));
      expect(run(order, [numbered(first)]), `begins at ${first}`)
        .to.deep.equal(["broken_frame"]);
    }
  });

  it("finds a run that does not go on after the event that the caller has", () => {
    expect(run(createEventOrder("12"), [numbered(1)]))
      .to.deep.equal(["broken_frame"]);
    expect(run(createEventOrder("12"), [numbered(13)]))
      .to.deep.equal(["pass_on"]);
  });

  it("lets ids rise by any number within a run, and then at a new run too", () => {
    const order = createEventOrder(undefined);
    expect(run(order, [numbered(5), numbered(10), numbered(12)]))
      .to.deep.equal(["pass_on", "pass_on", "pass_on"]);
    expect(run(order, [numbered(17)])).to.deep.equal(["pass_on"]);
  });

  it("lets no run go on after an event without an id", () => {
    const order = createEventOrder(undefined);
    run(order, [numbered(1), UNNUMBERED]);
    expect(run(order, [numbered(2)])).to.deep.equal(["broken_frame"]);
  });

  it("compares numbers beyond those that are exact in floating point", () => {
    const order = createEventOrder("9007199254740992");
    expect(run(order, [numbered("9007199254740993")]))
      .to.deep.equal(["pass_on"]);
    expect(run(order, [numbered("9007199254740993")]))
      .to.deep.equal(["broken_frame"]);
  });

  it("passes on ids that are no numbers", () => {
    const order = createEventOrder("a");
    expect(run(order, [numbered("c"), numbered("b")]))
      .to.deep.equal(["pass_on", "pass_on"]);
  });

  it("passes on rising numbers only, whatever the runs do", () => {
    const runs = fc.array(fc.array(fc.integer({ min: 0, max: 12 })));
    fc.assert(
      fc.property(runs, (ids) => {
        const order = createEventOrder(undefined);
        const passed: number[] = [];
        for (const idsOfRun of ids) {
          order.isNewRun = true;
          for (const id of idsOfRun) {
            if (advanceOrder(order, numbered(id)) === "pass_on") {
              passed.push(id);
            }
          }
        }
        expect(passed).to.deep.equal(
          [...new Set(passed)].sort((left, right) => left - right),
        );
      }),
      { seed: 7, numRuns: 500 },
    );
  });
});
