import { expect } from "chai";
import { runnerStatsOf } from "./runner_stats.ts";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  effectsOf,
  ENGINE,
  type GatewayHarness,
  publish,
  sendRequest,
} from "./test_fixture.ts";

const URGENT = { path: "/urgent/1", model: "small", deadlineMs: 8_000 };
const NORMAL = { path: "/normal/1", model: "small", deadlineMs: 8_000 };
const LEAST = { path: "/least/1", model: "small", deadlineMs: 8_000 };

/** Starts a gateway with routes of three priorities and one group. */
function startPriorities(): GatewayHarness {
  const harness = createHarness();
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
  publish(harness, {
    runners: [createHead("head-0")],
    document: createDocument({ routes }),
  });
  return harness;
}

/** Records a load report of the group. */
function report(harness: GatewayHarness, running: number): void {
  const load = { running, waiting: 0, at: harness.state.now, localInFlight: 0 };
  runnerStatsOf(harness.state.gateway!, "head-0").load = load;
}

function isSent(harness: GatewayHarness, request: typeof URGENT): boolean {
  const effects = sendRequest(
    harness,
    `${request.path}-${harness.effects.length}`,
    request,
  );
  return effectsOf(effects, "send_to_runner").length === 1;
}

describe("slots of a group", () => {
  it("are reserved for more urgent requests, one for each step of priority", () => {
    const harness = startPriorities();
    report(harness, ENGINE.slots - 2);
    expect(isSent(harness, LEAST)).to.equal(false);
    expect(isSent(harness, NORMAL)).to.equal(true);
  });

  it("admit the most urgent requests also to a short queue at the group", () => {
    const harness = startPriorities();
    report(harness, ENGINE.slots + 1);
    expect(isSent(harness, NORMAL)).to.equal(false);
    expect(isSent(harness, URGENT)).to.equal(true);
    expect(isSent(harness, URGENT)).to.equal(false);
  });

  it("are given to the most urgent waiting request first, regardless of arrival order", () => {
    const harness = startPriorities();
    report(harness, ENGINE.slots + 2);
    sendRequest(harness, "normal", NORMAL);
    sendRequest(harness, "urgent", URGENT);
    report(harness, ENGINE.slots - 2);
    const sends = effectsOf(harness.advance(50), "send_to_runner");
    expect(sends.map(({ request }) => request)).to.deep.equal([
      "urgent",
    ]);
  });
});

describe("many daemons with the same reports", () => {
  // Guards against daemons that all fill the group that seems least loaded, while others stand idle (issue 66).
  it("spread their requests over the groups, fewer to those with less room", () => {
    const heads = [0, 1, 2, 3].map((index) => createHead(`head-${index}`));
    const sent = new Map(heads.map(({ id }) => [id, 0]));
    for (let seed = 1; seed <= 200; seed += 1) {
      const harness = createHarness({}, { seed });
      publish(harness, { runners: heads });
      const gateway = harness.state.gateway!;
      gateway.workShare.value = 1 / 200;
      heads.forEach(({ id }, index) => {
        const running = index === 3 ? 11 : 4 + index;
        const load = { running, waiting: 0, at: 0, localInFlight: 0 };
        runnerStatsOf(gateway, id).load = load;
      });
      const [send] = effectsOf(
        sendRequest(harness, "r1", { ...NORMAL, path: "/chat/1" }),
        "send_to_runner",
      );
      sent.set(send!.runner, sent.get(send!.runner)! + 1);
    }
    const [least, more, most, full] = heads.map(({ id }) => sent.get(id)!);
    expect(least).to.be.above(more!).and.below(150);
    expect(more).to.be.above(most!);
    expect(most).to.be.above(full!).and.above(10);
  });
});

describe("a stream that goes on after an interruption", () => {
  // Guards against an interrupted stream that waits behind new requests until its caller leaves (issue 66).
  it("comes before new requests at its runner", () => {
    const harness = createHarness();
    publish(harness, { runners: [createHead("head-0"), createHead("head-1")] });
    const [first] = effectsOf(
      sendRequest(harness, "r1", { ...NORMAL, path: "/chat/1" }),
      "send_to_runner",
    );
    const at = { request: "r1", attempt: 1 };
    harness.feed({
      kind: "response_started",
      ...at,
      status: 200,
      verdict: "ran",
      load: undefined,
    });
    harness.feed({ kind: "response_progressed", ...at, lastEvent: "3" });
    const [second] = effectsOf(
      harness.feed({ kind: "response_failed", ...at, outcome: "body_cut_off" }),
      "send_to_runner",
    );
    expect(first!.urgency).to.be.above(0);
    expect(second!.urgency).to.equal(0);
    expect(second!.resumeAfter).to.equal("3");
  });
});
