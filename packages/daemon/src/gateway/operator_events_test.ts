import type { RoutingDocument } from "@primroseshed/core";
import { expect } from "chai";
import type { OperatorRecord } from "./adapters.ts";
import { operatorEvents } from "./operator_events.ts";

const position = { timeline: 1, offset: 4 };
const document = { version: 2 } as RoutingDocument;
const ROUTING: OperatorRecord = { kind: "routing", document };

const evacuation = (zone: string, isInForce: boolean): OperatorRecord => ({
  kind: "evacuation",
  zone,
  isInForce,
});

function eventsOf(values: (OperatorRecord | undefined)[], isWhole: boolean) {
  const records = values.map((value, index) => ({ key: String(index), value }));
  return operatorEvents({ records, isWhole, position, confirmedAt: 5 });
}

describe("events of a read of what operators have written", () => {
  // Guards against a daemon that sends requests by its first configuration before it knows the evacuations.
  it("name the evacuations before the configuration", () => {
    const events = eventsOf([ROUTING, evacuation("a", true)], true);
    expect(events).to.deep.equal([
      { kind: "evacuations_read", zones: ["a"], position },
      { kind: "routing_read", document, confirmedAt: 5 },
    ]);
  });

  // Guards against evacuations that stay in force since a whole read without any says nothing of them.
  it("name an empty set where a whole read holds none", () => {
    expect(eventsOf([ROUTING, evacuation("a", false)], true)[0]).to.deep.equal({
      kind: "evacuations_read",
      zones: [],
      position,
    });
  });

  it("name the newest change of each zone, and confirm the configuration", () => {
    const changes = [
      evacuation("a", true),
      evacuation("a", false),
      evacuation("b", false),
      evacuation("b", true),
    ];
    expect(eventsOf(changes, false)).to.deep.equal([
      {
        kind: "evacuations_changed",
        evacuated: ["b"],
        lifted: ["a"],
        position,
      },
      { kind: "freshness_confirmed", topic: "routing", confirmedAt: 5 },
    ]);
  });

  it("name no evacuations where a read of changes holds none", () => {
    expect(eventsOf([ROUTING], false)).to.have.length(1);
    expect(eventsOf([], false)).to.have.length(1);
  });
});
