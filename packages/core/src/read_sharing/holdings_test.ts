import { expect } from "chai";
import { ownHoldings } from "../admission/shares.ts";
import type { ZoneHolding } from "../admission/types.ts";
import { LOAD_ENGINE } from "../gateway/test_engines.ts";
import {
  createDocument,
  createHead,
  effectsOf,
  sendRequest,
} from "../gateway/test_fixture.ts";
import { createStreamRoute } from "../gateway/test_load.ts";
import {
  createFleet,
  type SimulatedDaemon,
  type SimulatedFleet,
} from "./test_fleet.ts";

const DAEMONS = 6;
/** Time in which a change reaches all daemons: two intervals of 400 ms and the sweeps. */
const SETTLE_MS = 1_500;

function startFleet(zones: Record<string, number> = { a: DAEMONS }) {
  const fleet = createFleet(zones);
  fleet.store.runners = Array.from(
    { length: 4 },
    (_, index) => createHead(`head-${index}`),
  );
  fleet.store.document = createDocument({
    version: 2,
    routes: [createStreamRoute("a"), createStreamRoute("b")],
    services: [{ name: "llm", engine: LOAD_ENGINE }],
  });
  fleet.store.position.offset = 2;
  fleet.advance(4_000);
  return fleet;
}

/** Sends requests of a daemon that stay in flight. */
function load(
  { entry, harness }: SimulatedDaemon,
  { count, route = "a" }: { count: number; route?: string },
): void {
  for (let index = 0; index < count; index += 1) {
    const request = `${entry.node}-${route}-${harness.effects.length}-${index}`;
    const [send] = effectsOf(
      sendRequest(harness, request, {
        path: `/${route}/1`,
        model: "small",
        deadlineMs: 60_000,
      }),
      "send_to_runner",
    );
    harness.feed({
      kind: "response_started",
      request,
      attempt: send!.attempt,
      status: 200,
      verdict: "ran",
      load: { running: 1, waiting: 0 },
    });
  }
}

function endAll({ harness }: SimulatedDaemon): void {
  for (const request of [...harness.state.gateway!.requests.keys()]) {
    harness.feed({ kind: "routed_request_closed", request });
  }
}

function requestsOf(rows: readonly ZoneHolding[], route: string): number {
  return rows.filter((row) => row.route === route)
    .reduce((sum, { requests }) => sum + requests, 0);
}

const own = ({ harness }: SimulatedDaemon, route: string) =>
  requestsOf(ownHoldings(harness.state.gateway!.admission), route);

/** Returns the requests of the other daemons that a daemon knows of. */
const known = ({ harness }: SimulatedDaemon, route: string) =>
  requestsOf(
    harness.state.gateway!.admission.zone?.table.holdings ?? [],
    route,
  );

/** Checks that every daemon that is up knows what all others of its zone hold. */
function expectSums({ daemons }: SimulatedFleet, route = "a"): void {
  const up = daemons.filter(({ isUp }) => isUp);
  for (const daemon of up) {
    const others = up.filter((other) =>
      other !== daemon && other.entry.zone === daemon.entry.zone
    );
    const expected = others.reduce((sum, other) => sum + own(other, route), 0);
    expect(known(daemon, route), daemon.entry.node).to.equal(expected);
  }
}

const followersOf = ({ daemons }: SimulatedFleet) =>
  daemons.filter(({ upstream }) => upstream !== undefined);

/** Counts the messages with counts that a daemon has sent so far. */
function sentReports({ harness }: SimulatedDaemon): number {
  return harness.effects.filter((effect) =>
    (effect.kind === "send_to_upstream" ||
      effect.kind === "send_to_followers") &&
    effect.message.kind === "limits" && effect.message.holdings !== undefined
  ).length;
}

describe("counts of the daemons of a zone", () => {
  // Guards against sums that count a daemon's own part twice, or leave the reading daemon out.
  it("are known to every daemon without its own, and follow changes", () => {
    const fleet = startFleet();
    fleet.daemons.forEach((daemon, index) => {
      load(daemon, { count: index + 1 });
    });
    load(fleet.daemons[2]!, { count: 3, route: "b" });
    fleet.advance(SETTLE_MS);
    expectSums(fleet);
    expectSums(fleet, "b");
    expect(known(fleet.daemons[0]!, "a")).to.be.above(10);
    endAll(fleet.daemons[3]!);
    load(fleet.daemons[1]!, { count: 2 });
    fleet.advance(SETTLE_MS);
    expectSums(fleet);
  });

  // Guards against counts of a daemon that is gone, which would hold others back.
  it("leave out a follower that has left, and one that is silent", () => {
    const fleet = startFleet();
    for (const daemon of fleet.daemons) load(daemon, { count: 2 });
    fleet.advance(SETTLE_MS);
    const [leaver, silent] = followersOf(fleet);
    const [reader] = fleet.readers();
    leaver!.isUp = false;
    reader!.harness.feed({
      kind: "follower_left",
      follower: leaver!.entry.node,
    });
    fleet.advance(SETTLE_MS);
    expectSums(fleet);
    silent!.isUp = false;
    fleet.advance(SETTLE_MS + 1_000);
    expectSums(fleet);
  });

  // Guards against a sum that one lost message keeps wrong, or that a repeated one counts twice.
  it("are right again after messages were lost, and while they are repeated", () => {
    const fleet = startFleet();
    for (const daemon of fleet.daemons) load(daemon, { count: 2 });
    fleet.advance(SETTLE_MS);
    fleet.limitsArriving = () => [];
    endAll(followersOf(fleet)[0]!);
    load(followersOf(fleet)[1]!, { count: 2 });
    fleet.advance(500);
    fleet.limitsArriving = (event) => [event];
    fleet.advance(SETTLE_MS);
    expectSums(fleet);
    fleet.limitsArriving = (event) => [event, event];
    load(followersOf(fleet)[2]!, { count: 2 });
    fleet.advance(SETTLE_MS);
    expectSums(fleet);
  });

  // Guards against decisions by counts that nobody confirms any more.
  it("are dropped after a second without any, with a line in the log", () => {
    const fleet = startFleet();
    for (const daemon of fleet.daemons) load(daemon, { count: 2 });
    fleet.advance(SETTLE_MS);
    fleet.limitsArriving = () => [];
    fleet.advance(2_000);
    for (const { harness } of followersOf(fleet)) {
      expect(harness.state.gateway!.admission.zone).to.equal(undefined);
      const lines = effectsOf(harness.effects, "log").filter(({ event }) =>
        event === "zone_counts_outdated"
      );
      expect(lines).to.have.lengthOf(1);
    }
  });

  // Guards against followers that wait for a change before a new reading daemon hears of them.
  it("are right soon after the reading daemon has changed", () => {
    const fleet = startFleet();
    for (const daemon of fleet.daemons) load(daemon, { count: 2 });
    fleet.advance(SETTLE_MS);
    const [before] = fleet.readers();
    before!.isUp = false;
    fleet.advance(5_000);
    const [after] = fleet.readers();
    expect(after!.entry.node).to.not.equal(before!.entry.node);
    expectSums(fleet);
  });

  // Guards against counts of another zone, whose reader a cut-off daemon follows for a time.
  it("stay within the zone", () => {
    const fleet = startFleet({ a: 3, b: 1 });
    for (const daemon of fleet.daemons) load(daemon, { count: 2 });
    const lone = fleet.daemon("b-0");
    lone.isCutFromStore = true;
    fleet.advance(8_000);
    expect(lone.upstream?.node).to.match(/^a-/);
    expectSums(fleet);
  });

  // Guards against messages while nothing is held, and against more than one in each interval of 400 ms.
  it("are few: none while the zone is idle, and bounded in number", () => {
    const fleet = startFleet();
    const total = () =>
      fleet.daemons.reduce((sum, daemon) => sum + sentReports(daemon), 0);
    expect(total()).to.equal(0);
    const [follower] = followersOf(fleet);
    for (let round = 0; round < 10; round += 1) {
      load(follower!, { count: 1 });
      fleet.advance(200);
    }
    expect(sentReports(follower!)).to.be.within(4, 6);
    endAll(follower!);
    fleet.advance(SETTLE_MS);
    const before = total();
    fleet.advance(10_000);
    expect(total()).to.equal(before);
    const { admission } = follower!.harness.state.gateway!;
    expect(admission.holdingsSharing.sent.length).to.be.at.most(4);
  });

  // Guards against an upgrade in which daemons of the earlier build ignore the counts.
  it("are left out by a reading daemon of the earlier build, so that own counts are used", () => {
    const fleet = startFleet();
    fleet.readers()[0]!.isEarlierBuild = true;
    for (const daemon of fleet.daemons) load(daemon, { count: 2 });
    fleet.advance(SETTLE_MS);
    for (const { harness } of fleet.daemons) {
      expect(harness.state.gateway!.admission.zone).to.equal(undefined);
    }
  });
});
