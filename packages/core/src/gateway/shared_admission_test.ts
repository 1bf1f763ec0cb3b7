import { expect } from "chai";
import { setZoneHoldings } from "../admission/shares.ts";
import { runnerStatsOf } from "./runner_stats.ts";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  type EffectOf,
  effectsOf,
  type GatewayHarness,
  publish,
  refusalOf,
  sendRequest,
} from "./test_fixture.ts";
import { LOAD_ENGINE } from "./test_engines.ts";
import { createStreamRoute } from "./test_load.ts";
import type { Route } from "./types.ts";

const SLOTS = LOAD_ENGINE.slots;

function startShared(
  routes: Route[] = [createStreamRoute("a"), createStreamRoute("b")],
): GatewayHarness {
  const harness = createHarness();
  const teams = ["small", "large"].map((name) => ({
    name,
    keys: [`key-${name}`],
    priority: undefined,
  }));
  const services = [{ name: "llm", engine: LOAD_ENGINE }];
  publish(harness, {
    runners: [createHead("head-0")],
    document: createDocument({ routes, teams, services }),
  });
  // No other daemon takes what comes free.
  harness.state.gateway!.workShare.value = 1;
  return harness;
}

/** Reports requests of other daemons at the only group. */
function report(harness: GatewayHarness, remote: number): void {
  const { now, gateway } = harness.state;
  const stats = runnerStatsOf(gateway!, "head-0");
  const localInFlight = stats.inFlight;
  const running = remote + localInFlight;
  stats.load = { running, waiting: 0, at: now, localInFlight };
}

function send(
  harness: GatewayHarness,
  request: string,
  { route = "a", team = "small", deadlineMs = 8_000, fingerprint }: {
    route?: string;
    team?: string;
    deadlineMs?: number;
    fingerprint?: string;
  } = {},
) {
  return sendRequest(harness, request, {
    path: `/${route}/1`,
    key: `key-${team}`,
    model: "small",
    deadlineMs,
    fingerprint,
  });
}

function logsOf(effects: readonly ReturnType<typeof send>[number][]) {
  return effectsOf(effects, "log").map(({ event, fields }) => ({
    event,
    fields: fields as Record<string, unknown>,
  }));
}

function sentRequests(effects: readonly ReturnType<typeof send>[number][]) {
  return effectsOf(effects, "send_to_runner").map((
    { request }: EffectOf<"send_to_runner">,
  ) => request);
}

describe("a request for a full service of policy shared", () => {
  it("waits while a first event in time is likely, and logs why and for how long", () => {
    const harness = startShared();
    report(harness, SLOTS + 2);
    const effects = send(harness, "one");
    expect(refusalOf(effects)).to.equal(undefined);
    const waits = logsOf(effects).find(({ event }) =>
      event === "request_waits"
    );
    expect(waits!.fields).to.include({ cause: "no_slot", route: "a" });
    expect(waits!.fields.expectedMs).to.be.above(0);
    expect(waits!.fields.holdingMs).to.be.above(0);
    report(harness, 0);
    expect(sentRequests(harness.advance(50))).to.deep.equal(["one"]);
  });

  it("is refused at once where the wait would outlast its use, with a delay within a third of its time", () => {
    const harness = startShared();
    report(harness, SLOTS * 6);
    const effects = send(harness, "one", { deadlineMs: 3_000 });
    const refusal = refusalOf(effects)!;
    expect(refusal).to.include({ code: "overloaded", verdict: "not_run" });
    expect(refusal.retryAfterMs).to.be.within(1, 1_000);
    const refused = logsOf(effects).find(({ event }) =>
      event === "capacity_refused"
    );
    expect(refused!.fields).to.include({ cause: "wait_too_long" });
  });

  it("never waits beyond the patience of its caller", () => {
    const harness = startShared();
    report(harness, SLOTS + 2);
    send(harness, "one", { deadlineMs: 60_000 });
    let waitedMs = 0;
    let refusal = undefined;
    while (refusal === undefined && waitedMs < 5_000) {
      report(harness, SLOTS + 2);
      refusal = refusalOf(harness.advance(50));
      waitedMs += 50;
    }
    expect(refusal).to.include({ verdict: "not_run" });
    expect(waitedMs).to.be.at.most(2_000);
  });

  it("goes behind those that can be in time once it is late", () => {
    const harness = startShared();
    report(harness, SLOTS + 1);
    send(harness, "late", { route: "a" });
    for (let round = 0; round < 8; round += 1) {
      report(harness, SLOTS + 1);
      harness.advance(50);
    }
    report(harness, SLOTS + 1);
    send(harness, "fresh", { route: "a" });
    report(harness, SLOTS - 1);
    const effects = harness.advance(50);
    expect(sentRequests(effects)).to.deep.equal(["fresh"]);
  });

  it("is refused as soon as no runner is left that could serve it", () => {
    const harness = startShared();
    report(harness, SLOTS + 2);
    send(harness, "one");
    harness.feed({
      kind: "runners_read",
      runners: [],
      removedIds: ["head-0"],
      isWhole: false,
      position: { timeline: 1, offset: 1 },
      confirmedAt: harness.state.now,
    });
    const refusal = refusalOf(harness.advance(50));
    expect(refusal).to.include({ code: "no_capacity", verdict: "not_run" });
  });

  it("keeps nothing for a model that no runner serves, since callers choose the names", () => {
    const harness = startShared();
    for (let index = 0; index < 20; index += 1) {
      sendRequest(harness, `r${index}`, {
        path: "/a/1",
        key: "key-small",
        model: `unknown-${index}`,
      });
    }
    expect(harness.state.gateway!.admission.queues.size).to.equal(0);
  });

  it("leaves no trace once it has ended", () => {
    const harness = startShared();
    send(harness, "one");
    report(harness, SLOTS + 2);
    send(harness, "two");
    for (const request of ["one", "two"]) {
      harness.feed({ kind: "routed_request_closed", request });
    }
    const { holders, queues } = harness.state.gateway!.admission;
    expect(holders.size).to.equal(0);
    for (const { waiters, levels } of queues.values()) {
      expect(waiters.size).to.equal(0);
      for (const { held } of levels) expect(held.size).to.equal(0);
    }
  });

  it("gets no place from a repeat that comes before the time that its refusal named", () => {
    const harness = startShared();
    report(harness, SLOTS * 6);
    const first = refusalOf(send(harness, "first", { fingerprint: "f" }))!;
    expect(first.retryAfterMs).to.be.above(50);
    report(harness, SLOTS + 2);
    const early = send(harness, "early", { fingerprint: "f" });
    expect(refusalOf(early)).to.include({ verdict: "not_run" });
    const refused = logsOf(early).find(({ event }) =>
      event === "capacity_refused"
    );
    expect(refused!.fields).to.include({ cause: "early_return" });
    expect(refusalOf(send(harness, "other", { fingerprint: "g" }))).to.equal(
      undefined,
    );
  });

  it("costs no more work the more requests wait", () => {
    const workOf = (waiting: number) => {
      // An objective this long lets all of them wait.
      const route = { targetLatencyMs: 200_000, timeoutMs: 400_000 };
      const harness = startShared([
        createStreamRoute("a", route),
        createStreamRoute("b", route),
      ]);
      report(harness, SLOTS + 2);
      for (let index = 0; index < waiting; index += 1) {
        send(harness, `w${index}`, { deadlineMs: 400_000 });
      }
      const { admission, runnerStats } = harness.state.gateway!;
      const [queue] = admission.queues.values();
      expect(queue!.waiters.size).to.equal(waiting);
      let lookUps = 0;
      const count = <K, V>(map: Map<K, V>) => {
        const get = map.get.bind(map);
        map.get = (key) => {
          lookUps += 1;
          return get(key);
        };
      };
      count(runnerStats);
      count(queue!.waiters);
      count(harness.state.gateway!.requests);
      send(harness, "last", { deadlineMs: 400_000 });
      return lookUps;
    };
    expect(workOf(400)).to.be.at.most(workOf(4) + 4);
  });

  it("is held back where its route has more of the zone than its part, while the counts are recent", () => {
    const harness = startShared();
    const holding = { team: "small", requests: 5 };
    const holdings = [
      { ...holding, route: "a", tokens: 20_000, waiting: 0 },
      { ...holding, route: "b", tokens: 1_000, waiting: 3 },
    ];
    const { admission } = harness.state.gateway!;
    const { now } = harness.state;
    setZoneHoldings(admission, { holdings, ageMs: 100 }, { now });
    report(harness, SLOTS - 1);
    expect(sentRequests(send(harness, "a1", { route: "a" }))).to.deep.equal([]);
    expect(sentRequests(send(harness, "b1", { route: "b" }))).to.deep.equal([
      "b1",
    ]);
    harness.feed({ kind: "routed_request_closed", request: "a1" });
    harness.feed({ kind: "routed_request_closed", request: "b1" });
    // Late reports: own counts decide, by which no route holds anything.
    harness.advance(2_500);
    harness.feed({
      kind: "freshness_confirmed",
      topic: "routing",
      confirmedAt: harness.state.now,
    });
    report(harness, SLOTS - 1);
    expect(sentRequests(send(harness, "a2", { route: "a" }))).to.deep.equal([
      "a2",
    ]);
  });
});

describe("urgency sent to a runner", () => {
  function urgencyOf(harness: GatewayHarness, route: string): number {
    const effects = send(harness, `${route}-${harness.effects.length}`, {
      route,
    });
    return effectsOf(effects, "send_to_runner")[0]!.urgency;
  }

  it("follows slack within a priority of a shared service, and never crosses priorities", () => {
    const harness = startShared([
      createStreamRoute("tight", { targetLatencyMs: 200 }),
      createStreamRoute("wide", { targetLatencyMs: 400 }),
      createStreamRoute("least", { targetLatencyMs: 200, priority: 1 }),
    ]);
    expect(urgencyOf(harness, "tight")).to.be.below(urgencyOf(harness, "wide"));
    expect(urgencyOf(harness, "wide")).to.be.below(urgencyOf(harness, "least"));
  });

  it("is the priority where the policy is local", () => {
    const harness = startShared([
      createStreamRoute("only", { priority: 3 }),
      createRoute({ name: "b", prefix: "/b/" }),
    ]);
    expect(urgencyOf(harness, "only")).to.equal(3);
  });
});
