import { expect } from "chai";
import { occupancyOf } from "../gateway/occupancy.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "../gateway/test_fixture.ts";
import { MAX_LOADS_PER_MESSAGE, MAX_REPORT_AGE_MS } from "./constants.ts";
import { takeDueReports } from "./reports.ts";
import type { LoadReport } from "./types.ts";

const HEAD = "head-0";
const REPORT: LoadReport = { runner: HEAD, running: 6, waiting: 0, ageMs: 100 };

/** Starts a gateway with one group, for which two streaming routes of equal priority compete. */
function start(): GatewayHarness {
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
  const document = createDocument({ routes });
  publish(harness, { runners: [createHead(HEAD)], document });
  return harness;
}

function hear(harness: GatewayHarness, ...loads: LoadReport[]): void {
  harness.feed({ kind: "limits_reported", limits: [], loads });
}

function send(harness: GatewayHarness, request: string): void {
  sendRequest(harness, request, { path: "/chat/1", model: "small" });
}

function occupancy({ state }: GatewayHarness): number {
  const gateway = state.gateway!;
  const runner = gateway.runners.get(HEAD)!;
  const stats = runnerStatsOf(gateway, HEAD);
  return Math.round(occupancyOf(gateway, { runner, stats }, state.now));
}

describe("a load report that another daemon heard", () => {
  // Guards against own requests that count twice: as requests in flight, and as requests of others in the report.
  it("counts the requests that this daemon had there at its time", () => {
    const harness = start();
    send(harness, "r1");
    send(harness, "r2");
    harness.advance(200);
    hear(harness, REPORT);
    expect(occupancy(harness)).to.equal(6);
  });

  // Guards against own requests that are left out, since a report counts as if it had been heard just now.
  it("does not count the requests that this daemon has sent since", () => {
    const harness = start();
    send(harness, "r1");
    harness.advance(200);
    send(harness, "r2");
    harness.advance(50);
    hear(harness, REPORT);
    expect(runnerStatsOf(harness.state.gateway!, HEAD).load)
      .to.include({ localInFlight: 1 });
    expect(occupancy(harness)).to.equal(7);
  });

  // Guards against requests of this daemon that have ended since, and would be taken for those of others.
  it("counts the requests that have ended since", () => {
    const harness = start();
    send(harness, "r1");
    harness.advance(200);
    harness.feed({ kind: "routed_request_closed", request: "r1" });
    harness.advance(50);
    hear(harness, REPORT);
    expect(occupancy(harness)).to.equal(5);
  });

  // Guards against a view that goes back in time where messages cross.
  it("is left out where a newer one is known, or where it is too old", () => {
    const harness = start();
    harness.advance(5_000);
    hear(harness, { ...REPORT, ageMs: MAX_REPORT_AGE_MS + 1 });
    const stats = runnerStatsOf(harness.state.gateway!, HEAD);
    expect(stats.load).to.equal(undefined);
    hear(harness, REPORT, { ...REPORT, running: 12, ageMs: 300 });
    expect(stats.load).to.include({ running: 6 });
  });

  // Guards against reports that go round between daemons for ever.
  it("is passed on by a daemon that reads the store only, and only once", () => {
    const harness = start();
    harness.state.gateway!.readSharing.isReading = false;
    hear(harness, REPORT);
    expect(takeDueReports(harness.state)).to.deep.equal([]);
    harness.state.gateway!.readSharing.isReading = true;
    hear(harness, { ...REPORT, ageMs: 50 });
    expect(takeDueReports(harness.state)).to.have.length(1);
    harness.advance(500);
    hear(harness, { ...REPORT, ageMs: 550 });
    expect(takeDueReports(harness.state)).to.deep.equal([]);
  });

  // Guards against a daemon that is told of runners or services that it shares nothing of.
  it("is ignored for a runner that is not known", () => {
    const harness = start();
    hear(harness, { ...REPORT, runner: "unknown" });
    expect(harness.state.gateway!.runnerStats.has("unknown")).to.equal(false);
  });
});

describe("load reports that are passed on", () => {
  // Guards against messages that grow with the fleet.
  it("are the newest of each runner, and bounded in number", () => {
    const harness = start();
    const { gateway } = harness.state;
    for (let index = 0; index < 100; index++) {
      for (const running of [1, 2]) {
        gateway!.loadSharing.pending.set(`head-${index}`, {
          running,
          waiting: 0,
          at: harness.state.now,
          slowness: undefined,
        });
      }
    }
    const reports = takeDueReports(harness.state);
    expect(reports).to.have.length(MAX_LOADS_PER_MESSAGE);
    expect(reports.at(-1)).to.include({ runner: "head-99", running: 2 });
    expect(gateway!.loadSharing.pending.size).to.equal(0);
  });

  // Guards against fields that daemons of the earlier build would have to know, and against empty messages.
  it("travel with limits, and nothing is sent where there are none", () => {
    const harness = start();
    harness.state.gateway!.readSharing.isReading = true;
    harness.state.gateway!.readSharing.followers.set("f", {
      hasSnapshot: true,
    });
    const before = harness.effects.length;
    hear(harness, REPORT);
    harness.advance(1_000);
    const messages = effectsOf(
      harness.effects.slice(before),
      "send_to_followers",
    ).map(({ message }) => message);
    expect(messages).to.have.length(1);
    expect(messages[0]).to.include({ kind: "limits" });
    expect(messages[0]).to.have.property("loads").with.length(1);
  });
});
