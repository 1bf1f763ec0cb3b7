import { expect } from "chai";
import type { Effect } from "../effect/types.ts";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  effectsOf,
  ENGINE,
  publish,
  sendRequest,
} from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import { evacuate, ZONES } from "./test_zones.ts";

/** Groups in each zone, each of 21 slots. */
const GROUPS = 4;
const SLOTS = 21;
/** Daemons in each zone, and requests of each zone's callers in a second. */
const DAEMONS = 3;
const REQUESTS_PER_SECOND = 60;
/** Time for which a request occupies a slot, ms. */
const HOLD_MS = 600;
const STEP_MS = 50;

interface RunningRequest {
  daemon: number;
  request: string;
  runner: string;
  endsAt: number;
}

/** Daemons of three zones in front of shared groups, which report their load with each answer. */
function createZones() {
  const heads: Runner[] = ZONES.flatMap((zone) =>
    Array.from(
      { length: GROUPS },
      (_, index) => createHead(`${zone}-${index}`, { zone, slots: SLOTS }),
    )
  );
  const zoneOf = new Map(heads.map(({ id, zone }) => [id, zone]));
  const document = createDocument({
    routes: [createRoute({
      prefix: "/chat/",
      kind: "resumable_stream",
      priority: 0,
      timeoutMs: 8_000,
      targetLatencyMs: 201,
      backends: [{ service: "llm", weight: 1 }],
    })],
    services: [{ name: "llm", engine: { ...ENGINE, slots: SLOTS } }],
  });
  const daemons = ZONES.flatMap((zone, zoneIndex) =>
    Array.from({ length: DAEMONS }, (_, index) => {
      const harness = createHarness({}, {
        seed: zoneIndex * DAEMONS + index + 1,
      });
      harness.state.gateway!.zone = zone;
      publish(harness, { runners: heads, document });
      return harness;
    })
  );
  const running = new Map<string, number>(heads.map(({ id }) => [id, 0]));
  let inFlight: RunningRequest[] = [];
  let count = 0;
  let now = 0;

  const sends: { runner: string; zone: string; at: number }[] = [];
  let refused = 0;
  let peak = 0;

  function observe(daemon: number, effects: readonly Effect[]): void {
    refused += effectsOf(effects, "refuse").length;
    for (const { request, runner } of effectsOf(effects, "send_to_runner")) {
      sends.push({ runner, zone: zoneOf.get(runner)!, at: now });
      const occupied = running.get(runner)! + 1;
      running.set(runner, occupied);
      peak = Math.max(peak, occupied);
      const endsAt = now + HOLD_MS;
      inFlight.push({ daemon, request, runner, endsAt });
      const load = { running: occupied, waiting: 0 };
      const verdict = "ran" as const;
      const at = { request, attempt: 1 };
      daemons[daemon]!.feed({
        kind: "response_started",
        ...at,
        status: 200,
        verdict,
        load,
      });
      daemons[daemon]!.feed({
        kind: "response_progressed",
        ...at,
        lastEvent: "1",
      });
    }
  }

  function step(): void {
    now += STEP_MS;
    for (const [index, daemon] of daemons.entries()) {
      observe(index, daemon.advance(STEP_MS));
      daemon.feed({
        kind: "freshness_confirmed",
        topic: "routing",
        confirmedAt: now,
      });
    }
    const ended = inFlight.filter(({ endsAt }) => endsAt <= now);
    inFlight = inFlight.filter(({ endsAt }) => endsAt > now);
    for (const { daemon, request, runner } of ended) {
      running.set(runner, running.get(runner)! - 1);
      observe(
        daemon,
        daemons[daemon]!.feed({
          kind: "response_ended",
          request,
          attempt: 1,
          status: 200,
          verdict: "ran",
          isRelayable: false,
        }),
      );
    }
    const perStep = REQUESTS_PER_SECOND * ZONES.length * STEP_MS / 1_000;
    for (let index = 0; index < perStep; index += 1) {
      count += 1;
      const daemon = count % daemons.length;
      observe(
        daemon,
        sendRequest(daemons[daemon]!, `r${count}`, {
          path: "/chat/1",
          model: "small",
          deadlineMs: 8_000,
        }),
      );
    }
  }

  return {
    daemons,
    sends,
    totals: () => ({ refused, peak, count }),
    run(ms: number) {
      for (const end = now + ms; now < end;) step();
    },
  };
}

// Load: three zones of 4 groups with 21 slots, 60 streams a second from the callers of each zone, 0.6 s each: 108 at
// once where 252 have room, and 168 without one zone.
describe("callers of an evacuated zone", () => {
  it("move to the two others, which take about the same and are not overloaded", () => {
    const zones = createZones();
    zones.run(5_000);
    expect(zones.sends.some(({ zone }) => zone === "suva-a")).to.equal(true);
    for (const daemon of zones.daemons) evacuate(daemon, ["suva-a"]);
    const since = zones.sends.length;
    zones.run(10_000);
    const { refused, peak, count } = zones.totals();
    const sentTo = (zone: string) =>
      zones.sends.slice(since).filter((send) => send.zone === zone).length;
    expect(sentTo("suva-a")).to.equal(0);
    const [left, right] = [sentTo("nausori-b"), sentTo("labasa-c")];
    expect(left / right).to.be.within(0.8, 1.25);
    expect(refused).to.equal(0);
    expect(zones.sends.length).to.equal(count);
    expect(peak).to.be.at.most(SLOTS);
    for (const daemon of zones.daemons) {
      evacuate(daemon, [], { timeline: 1, offset: 2 });
    }
    const lifted = zones.sends.length;
    zones.run(2_000);
    const back = zones.sends.slice(lifted);
    expect(back.some(({ zone }) => zone === "suva-a")).to.equal(true);
  });
});
