import { expect } from "chai";
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
} from "../gateway/test_fixture.ts";
import { runnerLoadOf } from "./runner_loads.ts";

const { slots } = ENGINE;

/** Starts a gateway with the groups of two zones, for which two urgent streaming routes compete. */
function start(
  runners: Readonly<Record<string, string>>,
  { targetLatencyMs = 400, seed = 1 }: {
    targetLatencyMs?: number;
    seed?: number;
  } = {},
): GatewayHarness {
  const harness = createHarness({}, { seed });
  const routes = ["chat", "talk"].map((name) =>
    createRoute({
      name,
      prefix: `/${name}/`,
      kind: "stream",
      timeoutMs: 8_000,
      targetLatencyMs,
      priority: 0,
      backends: [{ service: "llm", weight: 1 }],
    })
  );
  publish(harness, {
    runners: Object.entries(runners).map(([id, zone]) =>
      createHead(id, { zone })
    ),
    document: createDocument({ routes }),
  });
  return harness;
}

/** Makes a daemon hear the load of runners. */
function hear(
  harness: GatewayHarness,
  loads: Readonly<Record<string, number>>,
): void {
  harness.feed({
    kind: "limits_reported",
    limits: [],
    loads: Object.entries(loads).map(([runner, running]) => ({
      runner,
      running,
      waiting: 0,
      ageMs: 0,
    })),
  });
}

let requestCount = 0;

/** Sends a request; returns the runner that it is sent to. */
function chosenFor(harness: GatewayHarness): string | undefined {
  requestCount += 1;
  const effects = sendRequest(harness, `r${requestCount}`, {
    path: "/chat/1",
    model: "small",
    deadlineMs: 8_000,
  });
  return effectsOf(effects, "send_to_runner")[0]?.runner;
}

/** Returns the runners that single requests of daemons with different seeds are sent to. */
function chosenBySeeds(
  runners: Readonly<Record<string, string>>,
  loads: Readonly<Record<string, number>>,
): Set<string | undefined> {
  const seeds = Array.from({ length: 20 }, (_, seed) => seed + 1);
  return new Set(seeds.map((seed) => {
    const harness = start(runners, { seed });
    hear(harness, loads);
    return chosenFor(harness);
  }));
}

const NEAR = "suva-a";
const FAR = "suva-b";

describe("choice by expected time", () => {
  // Guards against traffic between zones, which is paid for, where the own zone is as good.
  it("keeps to the own zone while it has room", () => {
    const chosen = chosenBySeeds(
      { near: NEAR, far: FAR, far2: FAR },
      { near: 5, far: 0, far2: 0 },
    );
    expect(chosen).to.deep.equal(new Set(["near"]));
  });

  // Guards against requests that wait in their zone beside idle groups of another one.
  it("goes to another zone where the wait in the own one costs more than the way", () => {
    const chosen = chosenBySeeds(
      { near: NEAR, far: FAR, far2: FAR },
      { near: slots, far: 0, far2: 0 },
    );
    expect([...chosen].sort()).to.deep.equal(["far", "far2"]);
  });

  it("takes the less loaded of two", () => {
    const chosen = chosenBySeeds({ a: NEAR, b: NEAR }, { a: 10, b: 2 });
    expect(chosen).to.deep.equal(new Set(["b"]));
  });

  // Guards against a slow runner that gets all requests since it is idle.
  it("weighs the slowness of a runner", () => {
    const harness = start({ a: NEAR, b: NEAR });
    hear(harness, { a: 2, b: 6 });
    runnerLoadOf(harness.state, "a").slowness.ratio = 3;
    expect(chosenFor(harness)).to.equal("b");
  });

  // Guards against queues at runners, whose order is not fair; requests wait in the fair queue of admission instead.
  it("sends to no full runner, however much time a request has", () => {
    for (const targetLatencyMs of [50, 2_000]) {
      const harness = start({ a: NEAR }, { targetLatencyMs });
      hear(harness, { a: slots + 2 });
      expect(chosenFor(harness)).to.equal(undefined);
    }
  });

  // Guards against a queue at a runner that grows without limit for callers with much time.
  it("never sends to a runner whose queue is a quarter of its slots", () => {
    const harness = start({ a: NEAR }, { targetLatencyMs: 7_000 });
    hear(harness, { a: slots * 1.25 });
    expect(chosenFor(harness)).to.equal(undefined);
  });

  // Guards against a new connection for each request of a daemon that has few.
  it("keeps to the same few groups, and takes the next ones where these are full", () => {
    const ids = Array.from({ length: 12 }, (_, index) => `head-${index}`);
    const harness = start(Object.fromEntries(ids.map((id) => [id, NEAR])));
    const even = Object.fromEntries(ids.map((id) => [id, 3]));
    const used = new Set<string>();
    for (let round = 0; round < 6; round++) {
      hear(harness, even);
      used.add(chosenFor(harness)!);
      harness.feed({
        kind: "routed_request_closed",
        request: `r${requestCount}`,
      });
      harness.advance(500);
    }
    expect(used.size).to.be.at.most(2);
    hear(harness, {
      ...even,
      ...Object.fromEntries([...used].map((id) => [id, slots + 4])),
    });
    const next = chosenFor(harness);
    expect(next).not.to.equal(undefined);
    expect(used.has(next!)).to.equal(false);
  });
});
