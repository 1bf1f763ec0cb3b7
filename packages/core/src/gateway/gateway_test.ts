import { expect } from "chai";
import { isGatewayReady } from "./gateway.ts";
import {
  ask,
  createGate,
  createHead,
  createRunner,
  type Gate,
  only,
  teach,
} from "./test_fixture.ts";

function start(): Gate {
  const gate = createGate();
  teach(gate, { runners: [createRunner("desk-0"), createHead("head-0")] });
  return gate;
}

/** Advances the time while reads keep the configuration fresh. */
function passFresh(gate: Gate, ms: number) {
  const effects = [];
  for (let rest = ms; rest > 0; rest -= 500) {
    effects.push(...gate.pass(Math.min(rest, 500)));
    const sentAt = gate.state.now;
    gate.feed({ kind: "belief_confirmed", what: "routing", provedAt: sentAt });
  }
  return effects;
}

describe("graceful stop of a gateway", () => {
  it("leaves the rotation at once and still serves", () => {
    const gate = start();
    gate.feed({ kind: "gateway_stop_ordered" });
    expect(isGatewayReady(gate.state, gate.state.now)).to.equal(false);
    expect(only(ask(gate, "r1"), "try_runner")).to.have.length(1);
  });

  it("refuses requests that may outlast the grace time, as not run and to be retried at once", () => {
    const gate = start();
    gate.feed({ kind: "gateway_stop_ordered" });
    ask(gate, "r0");
    passFresh(gate, 3_000);
    const stream = ask(gate, "r1", { path: "/chat/1", model: "small" });
    expect(only(stream, "refuse")[0]).to.include({
      code: "stopping",
      verdict: "not_run",
      retryAfterMs: 0,
    });
    expect(only(ask(gate, "r2"), "try_runner")).to.have.length(1);
  });

  it("exits once no request is in flight and the balancer has noticed the stop", () => {
    const gate = start();
    gate.feed({ kind: "gateway_stop_ordered" });
    expect(only(passFresh(gate, 3_400), "exit")).to.deep.equal([]);
    expect(only(passFresh(gate, 500), "exit")).to.have.length(1);
  });

  it("exits within the grace time and ends each request that is left with a response", () => {
    const gate = start();
    const request = { path: "/chat/1", model: "small", deadlineMs: 60_000 };
    gate.pass(1);
    gate.feed({ kind: "gateway_stop_ordered" });
    ask(gate, "r1", request);
    let ended: number | undefined;
    for (let step = 0; step < 80 && ended === undefined; step += 1) {
      gate.feed({
        kind: "reply_progressed",
        request: "r1",
        attempt: 1,
        lastEvent: String(step),
      });
      const effects = passFresh(gate, 100);
      if (only(effects, "exit").length > 0) ended = gate.state.now;
    }
    expect(ended).to.be.within(7_000, 8_000);
    const [refusal] = only(gate.effects, "refuse");
    expect(refusal).to.include({ code: "stopping", verdict: "may_have_run" });
  });
});
