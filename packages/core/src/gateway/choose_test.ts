import { expect } from "chai";
import { targetOf } from "./choose.ts";
import {
  ask,
  createDocument,
  createGate,
  createHead,
  createRoute,
  ENGINE,
  type Gate,
  only,
  teach,
} from "./test_fixture.ts";

const URGENT = { path: "/urgent/1", model: "small", deadlineMs: 8_000 };
const NORMAL = { path: "/normal/1", model: "small", deadlineMs: 8_000 };
const LEAST = { path: "/least/1", model: "small", deadlineMs: 8_000 };

/** Starts a gateway with routes of three priorities and one group. */
function startRanks(): Gate {
  const gate = createGate();
  const names = ["urgent", "normal", "least"];
  const routes = names.map((name, priority) =>
    createRoute({
      name,
      prefix: `/${name}/`,
      kind: "stream",
      timeoutMs: 8_000,
      targetLatencyMs: 400,
      priority,
      backends: [{ service: "llm", weight: 1 }],
    })
  );
  teach(gate, {
    runners: [createHead("head-0")],
    document: createDocument({ routes }),
  });
  return gate;
}

/** Records a load report of the group. */
function report(gate: Gate, running: number): void {
  const load = { running, waiting: 0, at: gate.state.now, own: 0 };
  targetOf(gate.state.gateway!, "head-0").load = load;
}

function isSent(gate: Gate, request: typeof URGENT): boolean {
  const effects = ask(gate, `${request.path}-${gate.effects.length}`, request);
  return only(effects, "try_runner").length === 1;
}

describe("slots of a group", () => {
  it("are reserved for more urgent requests, one for each step of priority", () => {
    const gate = startRanks();
    report(gate, ENGINE.slots - 2);
    expect(isSent(gate, LEAST)).to.equal(false);
    expect(isSent(gate, NORMAL)).to.equal(true);
  });

  it("admit the most urgent requests also to a short queue at the group", () => {
    const gate = startRanks();
    report(gate, ENGINE.slots + 1);
    expect(isSent(gate, NORMAL)).to.equal(false);
    expect(isSent(gate, URGENT)).to.equal(true);
    expect(isSent(gate, URGENT)).to.equal(false);
  });

  it("are given to the most urgent waiting request first, regardless of arrival order", () => {
    const gate = startRanks();
    report(gate, ENGINE.slots + 2);
    ask(gate, "normal", NORMAL);
    ask(gate, "urgent", URGENT);
    report(gate, ENGINE.slots - 2);
    const sends = only(gate.pass(50), "try_runner");
    expect(sends.map(({ request }) => request)).to.deep.equal([
      "urgent",
    ]);
  });
});
