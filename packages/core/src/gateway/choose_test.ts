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

/** Routes of three priorities before one group. */
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

/** Lets the group report how many requests run there. */
function report(gate: Gate, running: number): void {
  const load = { running, waiting: 0, at: gate.state.now, own: 0 };
  targetOf(gate.state.gateway!, "head-0").load = load;
}

function isSent(gate: Gate, request: typeof URGENT): boolean {
  const effects = ask(gate, `${request.path}-${gate.effects.length}`, request);
  return only(effects, "try_runner").length === 1;
}

describe("places at a group", () => {
  it("are kept for more urgent work, one for each step of priority", () => {
    const gate = startRanks();
    report(gate, ENGINE.slots - 2);
    expect(isSent(gate, LEAST)).to.equal(false);
    expect(isSent(gate, NORMAL)).to.equal(true);
  });

  it("are taken by the most urgent work also in a short queue at the group", () => {
    const gate = startRanks();
    report(gate, ENGINE.slots + 1);
    expect(isSent(gate, NORMAL)).to.equal(false);
    expect(isSent(gate, URGENT)).to.equal(true);
    expect(isSent(gate, URGENT)).to.equal(false);
  });

  it("that come free go to the most urgent that waits, whoever came first", () => {
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
