import { expect } from "chai";
import {
  ask,
  createDocument,
  createGate,
  createRunner,
  type Gate,
  only,
  teach,
} from "./test_fixture.ts";
import { isGatewayReady } from "./gateway.ts";

function start(): Gate {
  const gate = createGate();
  teach(gate, { runners: [createRunner("desk-0")] });
  return gate;
}

const codeOf = (effects: ReturnType<Gate["feed"]>) =>
  only(effects, "refuse")[0]?.code;

describe("freshness of the configuration", () => {
  it("leaves the rotation after three seconds without confirmation, and still serves keys", () => {
    const gate = start();
    gate.pass(2_900);
    expect(isGatewayReady(gate.state, gate.state.now)).to.equal(true);
    gate.pass(200);
    expect(isGatewayReady(gate.state, gate.state.now)).to.equal(false);
    expect(only(ask(gate, "r1"), "try_runner")).to.have.length(1);
  });

  it("refuses requests with keys, as not run, well before five seconds without confirmation", () => {
    const gate = start();
    gate.pass(4_500);
    const effects = ask(gate, "r1");
    expect(only(effects, "try_runner")).to.deep.equal([]);
    const [refusal] = only(effects, "refuse");
    expect(refusal).to.include({ code: "not_ready", verdict: "not_run" });
    expect(refusal!.retryAfterMs).to.be.above(0);
  });

  it("counts the age from the time of the read's request, not of its response", () => {
    const gate = start();
    gate.pass(4_500);
    gate.feed({ kind: "belief_confirmed", what: "routing", provedAt: 50 });
    expect(codeOf(ask(gate, "r1"))).to.equal("not_ready");
  });

  it("invalidates all data after a clock jump, until a read that was sent later confirms it", () => {
    const gate = start();
    gate.pass(500);
    gate.feed({ kind: "clock_jumped", driftMs: 4_000 });
    expect(codeOf(ask(gate, "r1"))).to.equal("not_ready");
    gate.feed({ kind: "belief_confirmed", what: "routing", provedAt: 400 });
    expect(codeOf(ask(gate, "r2"))).to.equal("not_ready");
    gate.pass(50);
    gate.feed({ kind: "belief_confirmed", what: "routing", provedAt: 540 });
    expect(only(ask(gate, "r3"), "try_runner")).to.have.length(1);
  });

  it("reports an unknown route or key only while the configuration is fresh", () => {
    const gate = start();
    expect(codeOf(ask(gate, "r1", { path: "/none/" }))).to.equal(
      "unknown_route",
    );
    expect(codeOf(ask(gate, "r2", { key: "key-x" }))).to.equal("unknown_key");
    gate.pass(2_600);
    expect(codeOf(ask(gate, "r3", { path: "/none/" }))).to.equal("not_ready");
    expect(codeOf(ask(gate, "r4", { key: "key-x" }))).to.equal("not_ready");
  });

  it("ignores an older version than the one in force", () => {
    const gate = start();
    const sentAt = gate.state.now;
    const newer = createDocument({ version: 7, teams: [] });
    gate.feed({ kind: "routing_read", document: newer, provedAt: sentAt });
    const older = createDocument({ version: 3 });
    gate.feed({ kind: "routing_read", document: older, provedAt: sentAt });
    expect(codeOf(ask(gate, "r1"))).to.equal("unknown_key");
  });

  it("refuses requests as not ready while no configuration is known", () => {
    const gate = createGate();
    expect(codeOf(ask(gate, "r1"))).to.equal("not_ready");
  });
});

describe("runner list", () => {
  it("sends no new requests to a draining or removed runner", () => {
    const gate = start();
    const sentAt = gate.state.now;
    const draining = createRunner("desk-0", { state: "draining" });
    gate.feed({
      kind: "runners_read",
      runners: [draining],
      gone: [],
      isWhole: false,
      provedAt: sentAt,
    });
    expect(codeOf(ask(gate, "r1"))).to.equal("no_capacity");
    gate.feed({
      kind: "runners_read",
      runners: [],
      gone: ["desk-0"],
      isWhole: false,
      provedAt: sentAt,
    });
    expect(codeOf(ask(gate, "r2"))).to.equal("no_capacity");
  });

  it("ignores a delayed entry of an earlier process of a runner", () => {
    const gate = createGate();
    teach(gate, { runners: [createRunner("desk-0", { born: 2 })] });
    gate.feed({
      kind: "runners_read",
      runners: [createRunner("desk-0", { born: 1, state: "draining" })],
      gone: [],
      isWhole: false,
      provedAt: 0,
    });
    expect(only(ask(gate, "r1"), "try_runner")).to.have.length(1);
  });
});
