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

describe("age of the configuration", () => {
  it("leaves the rotation past three seconds without proof, and still serves keys", () => {
    const gate = start();
    gate.pass(2_900);
    expect(isGatewayReady(gate.state, gate.state.now)).to.equal(true);
    gate.pass(200);
    expect(isGatewayReady(gate.state, gate.state.now)).to.equal(false);
    expect(only(ask(gate, "r1"), "try_runner")).to.have.length(1);
  });

  it("serves no key any more well before five seconds without proof, and says that it did not run", () => {
    const gate = start();
    gate.pass(4_500);
    const effects = ask(gate, "r1");
    expect(only(effects, "try_runner")).to.deep.equal([]);
    const [refusal] = only(effects, "refuse");
    expect(refusal).to.include({ code: "not_ready", verdict: "not_run" });
    expect(refusal!.retryAfterMs).to.be.above(0);
  });

  it("counts from when the read was sent, not from its answer", () => {
    const gate = start();
    gate.pass(4_500);
    gate.feed({ kind: "belief_confirmed", what: "routing", provedAt: 50 });
    expect(codeOf(ask(gate, "r1"))).to.equal("not_ready");
  });

  it("trusts nothing after the clocks drifted apart, until a read that was sent later", () => {
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

  it("says 404 and 401 only of what a recent configuration does not have", () => {
    const gate = start();
    expect(codeOf(ask(gate, "r1", { path: "/none/" }))).to.equal(
      "unknown_route",
    );
    expect(codeOf(ask(gate, "r2", { key: "key-x" }))).to.equal("unknown_key");
    gate.pass(2_600);
    expect(codeOf(ask(gate, "r3", { path: "/none/" }))).to.equal("not_ready");
    expect(codeOf(ask(gate, "r4", { key: "key-x" }))).to.equal("not_ready");
  });

  it("never goes back to an older version", () => {
    const gate = start();
    const sentAt = gate.state.now;
    const newer = createDocument({ version: 7, teams: [] });
    gate.feed({ kind: "routing_read", document: newer, provedAt: sentAt });
    const older = createDocument({ version: 3 });
    gate.feed({ kind: "routing_read", document: older, provedAt: sentAt });
    expect(codeOf(ask(gate, "r1"))).to.equal("unknown_key");
  });

  it("answers 503 while no configuration is known", () => {
    const gate = createGate();
    expect(codeOf(ask(gate, "r1"))).to.equal("not_ready");
  });
});

describe("the list of runners", () => {
  it("gives a draining or unlisted runner no new work", () => {
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

  it("ignores a delayed entry of an earlier life", () => {
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
