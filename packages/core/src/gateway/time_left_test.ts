import { expect } from "chai";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  effectsOf,
  type GatewayHarness,
  publish,
  refusalOf,
} from "./test_fixture.ts";
import { LOAD_ENGINE } from "./test_engines.ts";

/** Time in which the engine writes one token, ms. */
const TOKEN_MS = LOAD_ENGINE.speed!.stepMs;

function startGateway(
  { isCapacityShared }: { isCapacityShared: boolean },
): GatewayHarness {
  const harness = createHarness({ isCapacityShared });
  const chat = createRoute({
    name: "chat",
    prefix: "/chat/",
    kind: "resumable_stream",
    timeoutMs: 8_000,
    targetLatencyMs: 400,
    backends: [{ service: "llm", weight: 1 }],
  });
  const draft = { ...chat, name: "draft", prefix: "/draft/" };
  const document = createDocument({
    routes: [chat, draft],
    services: [{ name: "llm", engine: LOAD_ENGINE }],
  });
  publish(harness, { document, runners: [createHead("a"), createHead("b")] });
  return harness;
}

function arrive(
  harness: GatewayHarness,
  { deadlineMs, expectedOutputTokens, lastEvent }: {
    deadlineMs: number;
    expectedOutputTokens?: number;
    lastEvent?: string;
  },
) {
  return harness.feed({
    kind: "routed_request_arrived",
    request: "r1",
    host: "a.example",
    path: "/chat/1",
    key: "key-a",
    deadlineMs,
    model: "small",
    promptTokens: 20,
    maxOutputTokens: 549,
    expectedOutputTokens,
    promptParts: [],
    lastEvent,
  });
}

for (const isCapacityShared of [false, true]) {
  const policy = isCapacityShared ? "shared" : "local";

  describe(`time left of a request, where capacity is ${policy}`, () => {
    // Guards against slots that are held for seconds by requests which their deadline cuts off (issue 63).
    it("is weighed against its size: one that cannot end at an idle group is refused at once", () => {
      const harness = startGateway({ isCapacityShared });
      const expectedOutputTokens = 100;
      const deadlineMs = expectedOutputTokens * TOKEN_MS / 4;
      const effects = arrive(harness, { deadlineMs, expectedOutputTokens });
      expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
      expect(refusalOf(effects)).to.include({
        code: "deadline_passed",
        verdict: "not_run",
      });
    });

    it("is enough where the estimate may be too high, or there is none", () => {
      const expectedOutputTokens = 100;
      const deadlineMs = expectedOutputTokens * TOKEN_MS * 0.6;
      const likely = arrive(startGateway({ isCapacityShared }), {
        deadlineMs,
        expectedOutputTokens,
      });
      expect(effectsOf(likely, "send_to_runner")).to.have.length(1);
      const unknown = arrive(startGateway({ isCapacityShared }), {
        deadlineMs: 200,
      });
      expect(effectsOf(unknown, "send_to_runner")).to.have.length(1);
    });

    it("is enough for a resumed stream, of which the caller has a part", () => {
      const effects = arrive(startGateway({ isCapacityShared }), {
        deadlineMs: 500,
        expectedOutputTokens: 100,
        lastEvent: "12",
      });
      expect(effectsOf(effects, "send_to_runner")).to.have.length(1);
    });

    it("decides on a second attempt, too", () => {
      const harness = startGateway({ isCapacityShared });
      const expectedOutputTokens = 100;
      const neededMs = expectedOutputTokens * TOKEN_MS / 2;
      const deadlineMs = neededMs + 300;
      arrive(harness, { deadlineMs, expectedOutputTokens });
      harness.advance(400);
      const effects = harness.feed({
        kind: "response_failed",
        request: "r1",
        attempt: 1,
        outcome: "status_not_run",
      });
      expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
      expect(refusalOf(effects)?.verdict).to.equal("not_run");
    });
  });
}
