import { expect } from "chai";
import {
  createHarness,
  createHead,
  failAttempt,
  type GatewayHarness,
  publish,
  sendRequest,
} from "./test_fixture.ts";

const RUNNERS = ["head-0", "head-1"];

function startStream(): GatewayHarness {
  const harness = createHarness();
  publish(harness, { runners: RUNNERS.map((id) => createHead(id)) });
  const options = { path: "/chat/1", model: "small", deadlineMs: 8_000 };
  sendRequest(harness, "r1", options);
  const at = { request: "r1", attempt: 1 };
  harness.feed({
    kind: "response_started",
    ...at,
    status: 200,
    verdict: "ran",
    load: undefined,
  });
  harness.feed({ kind: "response_progressed", ...at, lastEvent: "7" });
  return harness;
}

function block(harness: GatewayHarness, isBlocked: boolean): void {
  const at = { request: "r1", attempt: 1 };
  harness.feed({ kind: "relay_blocked", ...at, isBlocked });
}

function failuresOf({ state }: GatewayHarness): number {
  return RUNNERS.reduce(
    (sum, id) => sum + (state.gateway!.runnerStats.get(id)?.failures ?? 0),
    0,
  );
}

describe("a runner that cuts a response", () => {
  // Guards against slow callers that make their daemon avoid sound runners.
  it("is not blamed where it was left unread, also once its caller reads again", () => {
    for (const readsAgain of [false, true]) {
      const harness = startStream();
      block(harness, true);
      harness.advance(3_000);
      if (readsAgain) block(harness, false);
      failAttempt(harness, "r1", { outcome: "body_cut_off" });
      expect(failuresOf(harness)).to.equal(0);
      expect(harness.state.gateway!.readSharing.suspects.size).to.equal(0);
    }
  });

  it("is blamed where its caller read all the time, or paused for a moment", () => {
    for (const pauseMs of [0, 300]) {
      const harness = startStream();
      block(harness, pauseMs > 0);
      harness.advance(pauseMs);
      block(harness, false);
      failAttempt(harness, "r1", { outcome: "body_cut_off" });
      expect(failuresOf(harness)).to.equal(1);
    }
  });
});
