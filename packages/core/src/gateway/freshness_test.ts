import { expect } from "chai";
import { isGatewayReady } from "./gateway.ts";
import {
  createDocument,
  createHarness,
  createRunner,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "./test_fixture.ts";

function start(): GatewayHarness {
  const harness = createHarness();
  publish(harness, { runners: [createRunner("desk-0")] });
  return harness;
}

const codeOf = (effects: ReturnType<GatewayHarness["feed"]>) =>
  effectsOf(effects, "refuse")[0]?.code;

describe("freshness of the configuration", () => {
  it("leaves the rotation after three seconds without confirmation, and still serves keys", () => {
    const harness = start();
    harness.advance(2_900);
    expect(isGatewayReady(harness.state, harness.state.now)).to.equal(true);
    harness.advance(200);
    expect(isGatewayReady(harness.state, harness.state.now)).to.equal(false);
    expect(effectsOf(sendRequest(harness, "r1"), "send_to_runner")).to.have
      .length(1);
  });

  it("refuses requests with keys, as not run, well before five seconds without confirmation", () => {
    const harness = start();
    harness.advance(4_500);
    const effects = sendRequest(harness, "r1");
    expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
    const [refusal] = effectsOf(effects, "refuse");
    expect(refusal).to.include({ code: "not_ready", verdict: "not_run" });
    expect(refusal!.retryAfterMs).to.be.above(0);
  });

  it("counts the age from the time of the read's request, not of its response", () => {
    const harness = start();
    harness.advance(4_500);
    harness.feed({
      kind: "freshness_confirmed",
      topic: "routing",
      confirmedAt: 50,
    });
    expect(codeOf(sendRequest(harness, "r1"))).to.equal("not_ready");
  });

  it("invalidates all data after a clock jump, until a read that was sent later confirms it", () => {
    const harness = start();
    harness.advance(500);
    harness.feed({ kind: "clock_jumped", driftMs: 4_000 });
    expect(codeOf(sendRequest(harness, "r1"))).to.equal("not_ready");
    harness.feed({
      kind: "freshness_confirmed",
      topic: "routing",
      confirmedAt: 400,
    });
    expect(codeOf(sendRequest(harness, "r2"))).to.equal("not_ready");
    harness.advance(50);
    harness.feed({
      kind: "freshness_confirmed",
      topic: "routing",
      confirmedAt: 540,
    });
    expect(effectsOf(sendRequest(harness, "r3"), "send_to_runner")).to.have
      .length(1);
  });

  it("reports an unknown route or key only while the configuration is fresh", () => {
    const harness = start();
    expect(codeOf(sendRequest(harness, "r1", { path: "/none/" }))).to.equal(
      "unknown_route",
    );
    expect(codeOf(sendRequest(harness, "r2", { key: "key-x" }))).to.equal(
      "unknown_key",
    );
    harness.advance(2_600);
    expect(codeOf(sendRequest(harness, "r3", { path: "/none/" }))).to.equal(
      "not_ready",
    );
    expect(codeOf(sendRequest(harness, "r4", { key: "key-x" }))).to.equal(
      "not_ready",
    );
  });

  it("ignores an older version than the one in force", () => {
    const harness = start();
    const sentAt = harness.state.now;
    const newer = createDocument({ version: 7, teams: [] });
    harness.feed({
      kind: "routing_read",
      document: newer,
      confirmedAt: sentAt,
    });
    const older = createDocument({ version: 3 });
    harness.feed({
      kind: "routing_read",
      document: older,
      confirmedAt: sentAt,
    });
    expect(codeOf(sendRequest(harness, "r1"))).to.equal("unknown_key");
  });

  it("refuses requests as not ready while no configuration is known", () => {
    const harness = createHarness();
    expect(codeOf(sendRequest(harness, "r1"))).to.equal("not_ready");
  });
});

describe("runner list", () => {
  it("sends no new requests to a draining or removed runner", () => {
    const harness = start();
    const sentAt = harness.state.now;
    const draining = createRunner("desk-0", { state: "draining" });
    harness.feed({
      kind: "runners_read",
      runners: [draining],
      removedIds: [],
      isWhole: false,
      position: { timeline: 1, offset: 0 },
      confirmedAt: sentAt,
    });
    expect(codeOf(sendRequest(harness, "r1"))).to.equal("no_capacity");
    harness.feed({
      kind: "runners_read",
      runners: [],
      removedIds: ["desk-0"],
      isWhole: false,
      position: { timeline: 1, offset: 0 },
      confirmedAt: sentAt,
    });
    expect(codeOf(sendRequest(harness, "r2"))).to.equal("no_capacity");
  });

  it("ignores a delayed entry of an earlier process of a runner", () => {
    const harness = createHarness();
    publish(harness, {
      runners: [createRunner("desk-0", { startedUnixMs: 2 })],
    });
    harness.feed({
      kind: "runners_read",
      runners: [
        createRunner("desk-0", { startedUnixMs: 1, state: "draining" }),
      ],
      removedIds: [],
      isWhole: false,
      position: { timeline: 1, offset: 0 },
      confirmedAt: 0,
    });
    expect(effectsOf(sendRequest(harness, "r1"), "send_to_runner")).to.have
      .length(1);
  });
});
