import { expect } from "chai";
import type { Effect } from "../effect/types.ts";
import {
  createDocument,
  createHarness,
  createHead,
  effectsOf,
  ENGINE,
  failAttempt,
  type GatewayHarness,
  publish,
  refusalOf,
  sendRequest,
} from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import type { DaemonEntry } from "../read_sharing/types.ts";
import { COLD_START } from "./test_cold_fleet.ts";

const SETTLED_MS = 7_000;

function createEntry(node: string): DaemonEntry {
  return {
    node,
    zone: "suva-a",
    address: "127.0.0.1:1",
    incarnation: "1",
    cores: 1,
    forwardKey: "key-f",
  };
}

/** Creates a daemon that has known a fleet of the given size for a while; it owns runners in a fleet of up to ten. */
function createDaemon(
  { fleet, heads }: { fleet: number; heads: Runner[] },
): GatewayHarness {
  const entries = Array.from(
    { length: fleet },
    (_, index) => createEntry(`entry-${index + 1}`),
  );
  const harness = createHarness({ self: entries[0] });
  const document = createDocument({
    services: [{ name: "llm", engine: ENGINE, coldStart: COLD_START }],
  });
  if (fleet > 0) {
    harness.feed({
      kind: "daemons_read",
      daemons: entries,
      isWhole: true,
      isPassedOn: false,
    });
  }
  harness.advance(SETTLED_MS);
  publish(harness, { document, runners: heads });
  return harness;
}

function turnCold(harness: GatewayHarness, id: string): Effect[] {
  return harness.feed({
    kind: "runners_read",
    runners: [createHead(id, { writeCount: 2, coldForMs: 3_000 })],
    removedIds: [],
    isWhole: false,
    position: { timeline: 1, offset: 1 },
    confirmedAt: harness.state.now,
  });
}

/** Sends streams for a model and returns the runners that got them. */
function press(harness: GatewayHarness, count: number): string[] {
  return Array.from(
    { length: count },
    (_, index) => `${harness.state.now}-${index}`,
  ).flatMap((id) => sendStream(harness, id)).map(({ runner }) => runner);
}

function sendStream(harness: GatewayHarness, id: string) {
  const effects = sendRequest(harness, id, {
    path: "/chat/1",
    model: "small",
    deadlineMs: 8_000,
  });
  return effectsOf(effects, "send_to_runner");
}

function startStream(harness: GatewayHarness, request: string): void {
  harness.feed({
    kind: "response_started",
    request,
    attempt: 1,
    status: 200,
    verdict: "ran",
    load: { running: 1, waiting: 0 },
  });
}

const head = (id: string) => createHead(id, { writeCount: 1 });

/** A fleet so large that this daemon owns neither of the runners of these tests. */
const LARGE_FLEET = 119;

describe("requests beside a runner that has turned cold", () => {
  // Guards against daemons that go on to send to a head whose group stays open.
  it("go elsewhere at once where this daemon does not own it", () => {
    const harness = createDaemon({
      fleet: LARGE_FLEET,
      heads: [head("h1"), head("h2")],
    });
    expect(press(harness, 6)).to.include("h1");
    turnCold(harness, "h1");
    expect(new Set(press(harness, 6))).to.deep.equal(new Set(["h2"]));
  });

  it("reach it at the owner's pace where this daemon owns it", () => {
    const harness = createDaemon({ fleet: 1, heads: [head("h1")] });
    turnCold(harness, "h1");
    let sent = 0;
    for (let step = 0; step < 40; step += 1) {
      sent += press(harness, 1).length;
      sent += effectsOf(harness.advance(50), "send_to_runner").length;
    }
    expect(sent).to.be.within(3, 4);
    expect(harness.state.gateway!.pacing.heldBack.cold).to.be.above(0);
  });

  it("are not sent by a daemon that knows no fleet", () => {
    const harness = createDaemon({ fleet: 0, heads: [head("h1")] });
    harness.advance(SETTLED_MS);
    turnCold(harness, "h1");
    expect(press(harness, 5)).to.deep.equal([]);
  });

  it("are sent in a share of the work where daemons do not share reads", () => {
    const harness = createHarness();
    publish(harness, {
      document: createDocument({
        services: [{ name: "llm", engine: ENGINE, coldStart: COLD_START }],
      }),
      runners: [head("h1")],
    });
    turnCold(harness, "h1");
    harness.advance(1_000);
    expect(press(harness, 5)).to.deep.equal(["h1"]);
  });

  it("are not sent there as a retry", () => {
    const harness = createDaemon({
      fleet: LARGE_FLEET,
      heads: [head("h1"), head("h2")],
    });
    sendStream(harness, "r1");
    const first = effectsOf(harness.effects, "send_to_runner")[0]!.runner;
    const other = first === "h1" ? "h2" : "h1";
    turnCold(harness, other);
    const effects = failAttempt(harness, "r1", { outcome: "reset_after_send" });
    expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
    expect(refusalOf(effects)?.code).to.equal("backend_failed");
  });

  // Guards against a resumed stream that may use reserved slots and goes to a cold runner for that.
  it("resume a stream there only once it is warm", () => {
    const harness = createDaemon({
      fleet: LARGE_FLEET,
      heads: [head("h1"), head("h2")],
    });
    sendStream(harness, "r1");
    startStream(harness, "r1");
    const first = effectsOf(harness.effects, "send_to_runner")[0]!.runner;
    const other = first === "h1" ? "h2" : "h1";
    turnCold(harness, other);
    const failed = failAttempt(harness, "r1", { outcome: "body_cut_off" });
    expect(effectsOf(failed, "send_to_runner")).to.deep.equal([]);
    const waited = harness.advance(900);
    expect(effectsOf(waited, "send_to_runner").map(({ runner }) => runner))
      .not.to.include(other);
  });

  it("are refused where they come from another daemon, beyond this one's part", () => {
    const forwardTo = (harness: GatewayHarness, request: string) =>
      harness.feed({
        kind: "forward_arrived",
        request,
        runner: "h1",
        host: "a.example",
        path: "/chat/1",
        key: "key-a",
        team: "team-a",
        promptParts: [],
        fingerprint: "f",
        isTrial: false,
      }).map(({ kind }) => kind).filter((kind) => kind !== "log");
    const stranger = createDaemon({ fleet: LARGE_FLEET, heads: [head("h1")] });
    turnCold(stranger, "h1");
    expect(forwardTo(stranger, "f1")).to.deep.equal(["refuse_forward"]);
    const owner = createDaemon({ fleet: 1, heads: [head("h1")] });
    turnCold(owner, "h1");
    owner.advance(600);
    expect(forwardTo(owner, "f1")).to.deep.equal(["forward"]);
    expect(forwardTo(owner, "f2")).to.deep.equal(["refuse_forward"]);
    expect(press(owner, 1)).to.deep.equal([]);
  });
});
