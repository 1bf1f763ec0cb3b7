import { expect } from "chai";
import { createFleet } from "../read_sharing/test_fleet.ts";
import {
  createHarness,
  createHead,
  createRunner,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "./test_fixture.ts";
import { workKey } from "./runner_index.ts";
import type { Runner } from "./types.ts";

const CHAT = { path: "/chat/1", model: "small", deadlineMs: 6_000 };

function startService(runners: Runner[]): GatewayHarness {
  const harness = createHarness();
  publish(harness, { runners });
  return harness;
}

function targetsOf(effects: ReturnType<typeof sendRequest>): string[] {
  return effectsOf(effects, "send_to_runner").map(({ runner }) => runner);
}

/** Lets the head of an answer arrive that says that its runner leaves. */
function beginLeaving(harness: GatewayHarness, request: string): string {
  const { number: attempt, runner } = harness.state.gateway!.requests
    .get(request)!.currentAttempt!;
  harness.feed({
    kind: "response_started",
    request,
    attempt,
    status: 200,
    verdict: "ran",
    load: undefined,
    isLeaving: true,
  });
  return runner;
}

function readList(harness: GatewayHarness, runners: Runner[], timeline = 1) {
  return harness.feed({
    kind: "runners_read",
    runners,
    removedIds: [],
    isWhole: true,
    position: { timeline, offset: 0 },
    confirmedAt: harness.state.now,
  });
}

const SMALL_KEY = workKey({ service: "llm", model: "small" });

describe("a runner that says in an answer that it leaves", () => {
  // Guards against the rule DRAIN on answers with `Server-Leaving`: requests that wait for it or come later.
  it("gets no more requests from the head of the answer on, also of those that wait", () => {
    const heads = [createHead("head-0"), createHead("head-1")];
    const harness = startService([heads[0]!]);
    sendRequest(harness, "stream", CHAT);
    for (let index = 0; index < 40; index += 1) {
      sendRequest(harness, `r${index}`, CHAT);
    }
    expect(beginLeaving(harness, "stream")).to.equal("head-0");
    harness.effects.length = 0;
    harness.advance(50);
    readList(harness, heads);
    sendRequest(harness, "late", CHAT);
    const targets = targetsOf(harness.effects);
    expect(targets).to.include("head-1");
    expect(targets).to.not.include("head-0");
  });

  it("gets none whatever a list says later, also one of an older copy of the store", () => {
    const desks = [createRunner("desk-0"), createRunner("desk-1")];
    const harness = startService(desks);
    sendRequest(harness, "r0");
    const leaving = beginLeaving(harness, "r0");
    for (const timeline of [1, 2]) {
      readList(harness, [], timeline);
      readList(harness, desks, timeline);
      for (let index = 0; index < 10; index += 1) {
        const effects = sendRequest(harness, `${timeline}-${index}`);
        expect(targetsOf(effects)).to.not.include(leaving);
      }
    }
  });

  it("is used again as another process at the same address", () => {
    const harness = startService([createRunner("desk-0")]);
    sendRequest(harness, "r0");
    beginLeaving(harness, "r0");
    expect(targetsOf(sendRequest(harness, "r1"))).to.deep.equal([]);
    readList(harness, [createRunner("desk-0", { startedUnixMs: 2 })]);
    expect(targetsOf(sendRequest(harness, "r2"))).to.deep.equal(["desk-0"]);
  });

  it("gets no requests of other daemons of the zone either, soon after", () => {
    const fleet = createFleet({ a: 6 });
    fleet.store.runners = [createHead("head-0"), createHead("head-1")];
    fleet.store.position.offset = 2;
    fleet.advance(3_000);
    const follower = fleet.daemons.find(({ upstream }) =>
      upstream !== undefined
    )!;
    sendRequest(follower.harness, "r1", CHAT);
    const leaving = beginLeaving(follower.harness, "r1");
    fleet.advance(1_000);
    for (const { harness } of fleet.daemons) {
      const { runnerIndex } = harness.state.gateway!;
      const candidates = [...runnerIndex.get(SMALL_KEY)!.keys()];
      expect(candidates).to.not.include(leaving);
      expect(candidates).to.have.length(1);
    }
  });
});
