import { expect } from "chai";
import { isGatewayReady } from "./gateway.ts";
import {
  createHarness,
  createHead,
  createRunner,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "./test_fixture.ts";

function start(): GatewayHarness {
  const harness = createHarness();
  publish(harness, { runners: [createRunner("desk-0"), createHead("head-0")] });
  return harness;
}

/** Advances the time while reads keep the configuration fresh. */
function advanceFresh(harness: GatewayHarness, ms: number) {
  const effects = [];
  for (let rest = ms; rest > 0; rest -= 500) {
    effects.push(...harness.advance(Math.min(rest, 500)));
    const sentAt = harness.state.now;
    harness.feed({
      kind: "freshness_confirmed",
      topic: "routing",
      confirmedAt: sentAt,
    });
  }
  return effects;
}

describe("graceful stop of a gateway", () => {
  it("leaves the rotation at once and still serves", () => {
    const harness = start();
    harness.feed({ kind: "gateway_stop_ordered" });
    expect(isGatewayReady(harness.state, harness.state.now)).to.equal(false);
    expect(effectsOf(sendRequest(harness, "r1"), "send_to_runner")).to.have
      .length(1);
  });

  it("refuses requests that may outlast the grace time, as not run and to be retried at once", () => {
    const harness = start();
    harness.feed({ kind: "gateway_stop_ordered" });
    sendRequest(harness, "r0");
    advanceFresh(harness, 3_000);
    const stream = sendRequest(harness, "r1", {
      path: "/chat/1",
      model: "small",
    });
    expect(effectsOf(stream, "refuse")[0]).to.include({
      code: "stopping",
      verdict: "not_run",
      retryAfterMs: 0,
    });
    expect(effectsOf(sendRequest(harness, "r2"), "send_to_runner")).to.have
      .length(1);
  });

  it("exits once no request is in flight and the balancer has noticed the stop", () => {
    const harness = start();
    harness.feed({ kind: "gateway_stop_ordered" });
    expect(effectsOf(advanceFresh(harness, 3_400), "exit")).to.deep.equal([]);
    expect(effectsOf(advanceFresh(harness, 500), "exit")).to.have.length(1);
  });

  it("exits within the grace time and ends each request that is left with a response", () => {
    const harness = start();
    const request = { path: "/chat/1", model: "small", deadlineMs: 60_000 };
    harness.advance(1);
    harness.feed({ kind: "gateway_stop_ordered" });
    sendRequest(harness, "r1", request);
    let ended: number | undefined;
    for (let step = 0; step < 80 && ended === undefined; step += 1) {
      harness.feed({
        kind: "response_progressed",
        request: "r1",
        attempt: 1,
        lastEvent: String(step),
      });
      const effects = advanceFresh(harness, 100);
      if (effectsOf(effects, "exit").length > 0) ended = harness.state.now;
    }
    expect(ended).to.be.within(7_000, 8_000);
    const [refusal] = effectsOf(harness.effects, "refuse");
    expect(refusal).to.include({ code: "stopping", verdict: "may_have_run" });
  });
});
