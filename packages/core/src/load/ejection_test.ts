import { expect } from "chai";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  effectsOf,
  ENGINE,
  failAttempt,
  type GatewayHarness,
  publish,
  sendRequest,
} from "../gateway/test_fixture.ts";
import type { State } from "../state/types.ts";
import { EJECTION_JITTER, EJECTION_MS, EVIDENCE_MS } from "./constants.ts";
import { mayUse, recordRatio, recordTrial, takeEvidence } from "./ejection.ts";
import { runnerLoadOf } from "./runner_loads.ts";

const LONGEST_EJECTION_MS = EJECTION_MS * (1 + EJECTION_JITTER);
const RECOVERED_RATIO = 1;
const SLOW_RATIO = 4;

/** Starts a gateway with a number of groups, for which two streaming routes of equal priority compete. */
function start(groups: number): GatewayHarness {
  const harness = createHarness();
  const routes = ["chat", "talk"].map((name) =>
    createRoute({
      name,
      prefix: `/${name}/`,
      kind: "stream",
      timeoutMs: 8_000,
      backends: [{ service: "llm", weight: 1 }],
    })
  );
  const runners = Array.from(
    { length: groups },
    (_, index) => createHead(`head-${index}`),
  );
  publish(harness, { runners, document: createDocument({ routes }) });
  return harness;
}

/** Makes a daemon hear that others have evidence against a runner. */
function hear(
  harness: GatewayHarness,
  runner: string,
  ...nodes: string[]
): void {
  harness.feed({
    kind: "limits_reported",
    limits: [],
    evidence: nodes.map((node) => ({ runner, node, ageMs: 0 })),
  });
}

const phaseOf = ({ state }: GatewayHarness, runner: string) =>
  runnerLoadOf(state, runner).ejection.phase;

const isUsable = ({ state }: GatewayHarness, runner: string) =>
  mayUse(runnerLoadOf(state, runner).ejection, state.now);

/** Records a ratio that this daemon observed at a runner. */
function observe(
  { state }: GatewayHarness,
  runner: string,
  ratio: number,
): void {
  [...recordRatio(state, runner, ratio)];
}

/** Returns the state after requests whose first event took long, at groups that reported a number of running requests. */
function afterSlowStart(running: number): State {
  const harness = start(2);
  const load = { running, waiting: 0 };
  runAnswered(harness, "r1", { load, afterMs: 50 });
  runAnswered(harness, "r2", { load, afterMs: 1_500 });
  return harness.state;
}

/** Sends a request to a group, which answers after a time with a load report. */
function runAnswered(
  harness: GatewayHarness,
  request: string,
  { load, afterMs }: {
    load: { running: number; waiting: number };
    afterMs: number;
  },
): void {
  sendRequest(harness, request, {
    path: "/chat/1",
    model: "small",
    deadlineMs: 8_000,
  });
  harness.advance(afterMs);
  const at = { request, attempt: 1 };
  harness.feed({
    kind: "response_started",
    ...at,
    status: 200,
    verdict: "ran",
    load,
  });
  harness.feed({ kind: "response_progressed", ...at, lastEvent: undefined });
}

describe("ejection of a runner", () => {
  // Guards against one daemon whose own network is at fault that condemns a runner for all.
  it("takes evidence of two daemons", () => {
    const harness = start(8);
    hear(harness, "head-0", "entry-2");
    hear(harness, "head-0", "entry-2");
    expect(phaseOf(harness, "head-0")).to.equal("serving");
    hear(harness, "head-0", "entry-3");
    expect(phaseOf(harness, "head-0")).to.equal("ejected");
    expect(isUsable(harness, "head-0")).to.equal(false);
  });

  // Guards against rare faults that add up over a long time.
  it("takes them within a short time", () => {
    const harness = start(8);
    hear(harness, "head-0", "entry-2");
    harness.advance(EVIDENCE_MS + 100);
    hear(harness, "head-0", "entry-3");
    expect(phaseOf(harness, "head-0")).to.equal("serving");
  });

  // Guards against a fault of many daemons' network that takes all groups out of service.
  it("is held to a quarter of the groups of a model", () => {
    const harness = start(8);
    for (let index = 0; index < 8; index++) {
      hear(harness, `head-${index}`, "entry-2", "entry-3");
    }
    const phases = Array.from(
      { length: 8 },
      (_, index) => phaseOf(harness, `head-${index}`),
    );
    expect(phases.filter((phase) => phase === "ejected")).to.have.length(2);
    const capped = effectsOf(harness.effects, "log").filter(({ event }) =>
      event === "runner_eject_capped"
    );
    expect(capped).to.have.length(6);
  });

  // Guards against failures of this daemon that others never hear of.
  it("counts an own failure, which is passed on, as that of one daemon", () => {
    const harness = start(8);
    const effects = sendRequest(harness, "r1", {
      path: "/chat/1",
      model: "small",
    });
    const { runner } = effectsOf(effects, "send_to_runner")[0]!;
    failAttempt(harness, "r1", { outcome: "body_cut_off" });
    expect(phaseOf(harness, runner)).to.equal("serving");
    expect(takeEvidence(harness.state)).to.deep.equal([
      { runner, node: "entry-1", ageMs: 0 },
    ]);
    hear(harness, runner, "entry-2");
    expect(phaseOf(harness, runner)).to.equal("ejected");
  });

  // Guards against a full group that is taken for a faulty one when capacity is short.
  it("does not count times of a runner whose slots are nearly all taken", () => {
    expect(takeEvidence(afterSlowStart(ENGINE.slots - 2))).to.deep.equal([]);
    expect(takeEvidence(afterSlowStart(2))).to.have.length(1);
  });

  // Guards against runners that are used fully again at once, or never.
  it("ends with a trial request that goes alone and is answered in time", () => {
    const harness = start(8);
    hear(harness, "head-0", "entry-2", "entry-3");
    harness.advance(LONGEST_EJECTION_MS + 100);
    expect(isUsable(harness, "head-0")).to.equal(true);
    recordTrial(harness.state, "head-0");
    expect(isUsable(harness, "head-0")).to.equal(false);
    observe(harness, "head-0", RECOVERED_RATIO);
    expect(phaseOf(harness, "head-0")).to.equal("serving");
    expect(isUsable(harness, "head-0")).to.equal(true);
  });

  // Guards against a late answer to a request from before that counts as a trial.
  it("does not end with the answer to an earlier request", () => {
    const harness = start(8);
    hear(harness, "head-0", "entry-2", "entry-3");
    observe(harness, "head-0", RECOVERED_RATIO);
    expect(phaseOf(harness, "head-0")).to.equal("ejected");
  });

  it("lasts longer after a trial request that failed", () => {
    const harness = start(8);
    hear(harness, "head-0", "entry-2", "entry-3");
    harness.advance(LONGEST_EJECTION_MS + 100);
    recordTrial(harness.state, "head-0");
    observe(harness, "head-0", SLOW_RATIO);
    expect(phaseOf(harness, "head-0")).to.equal("ejected");
    harness.advance(LONGEST_EJECTION_MS + 100);
    expect(isUsable(harness, "head-0")).to.equal(false);
  });
});
