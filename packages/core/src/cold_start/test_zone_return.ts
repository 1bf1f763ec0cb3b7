/**
 * Simulates the load "an availability zone returns cold": callers go on at a steady rate while the heads of one zone are
 * gone, and come back together as new processes that are cold. In virtual time and without a network.
 *
 * @module
 */
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  ENGINE,
  type GatewayHarness,
  sendRequest,
} from "../gateway/test_fixture.ts";
import type { RoutingDocument, Runner } from "../gateway/types.ts";
import { COLD_START } from "../pacing/test_cold_fleet.ts";
import { createRandom, nextFloat, nextIndex } from "../util/random.ts";

const ZONES = ["suva-a", "suva-b", "suva-c"];
const DAEMONS_PER_ZONE = 4;
const HEADS_PER_ZONE = 4;
/** Slots of one head. */
export const SLOTS = 21;
/** Share of the callers in the zone that returns cold. */
const HOME_SHARE = 0.6;
const STEP_MS = 10;
const SECOND_MS = 1_000;
const RESPONSE_MS = 600;
const HEADERS_MS = 60;
const MAX_LAG_MS = 800;
/** Time after which the other daemons of a zone hear of a load report, ms. */
const REPORT_LAG_MS = 200;
/** Time at which the heads of the zone are gone, ms. */
export const GONE_AT = 8_000;
/** Time at which they are back and cold, ms. */
export const BACK_AT = 12_000;
/** Time at which they are warm, ms. */
export const WARM_AT = BACK_AT + COLD_START.durationMs;
const ENDS_AT = WARM_AT + 6_000;

/** A request that a head has got. */
export interface HeadArrival {
  head: string;
  at: number;
  /** Requests at the head, running and queued, this one included. */
  load: number;
}

/** What became of the load. */
export interface ZoneReturn {
  arrivals: HeadArrival[];
  sent: number;
  /** Requests that callers were refused. */
  refused: number;
}

interface Pending {
  at: number;
  act(): void;
}

const CONFIRMATION_INTERVAL_MS = 500;

function createHeads(zone: string, changes: Partial<Runner>): Runner[] {
  return Array.from(
    { length: HEADS_PER_ZONE },
    (_, index) =>
      createHead(`${zone}-h${index}`, { zone, writeCount: 1, ...changes }),
  );
}

function createColdDocument(isLimited: boolean): RoutingDocument {
  const engine = { ...ENGINE, slots: SLOTS };
  const coldStart = isLimited ? COLD_START : undefined;
  return createDocument({
    routes: [createRoute({
      prefix: "/chat/",
      targetLatencyMs: 800,
      timeoutMs: 2_000,
      priority: 0,
      backends: [{ service: "llm", weight: 1 }],
    })],
    services: [{ name: "llm", engine, coldStart }],
    teams: undefined,
  });
}

function createDaemons(document: RoutingDocument): GatewayHarness[] {
  const entries = ZONES.flatMap((zone) =>
    Array.from({ length: DAEMONS_PER_ZONE }, (_, index) => ({
      node: `${zone}-${index}`,
      zone,
      address: "127.0.0.1:1",
      incarnation: "1",
      cores: 1,
    }))
  );
  return entries.map((self, index) => {
    const harness = createHarness({ self }, { seed: index + 1 });
    harness.state.gateway!.zone = self.zone;
    harness.feed({
      kind: "daemons_read",
      daemons: entries,
      isWhole: true,
      isPassedOn: false,
    });
    harness.feed({ kind: "routing_read", document, confirmedAt: 0 });
    return harness;
  });
}

/** Runs the load; `isLimited` is false where the service has no cold start. */
export function runZoneReturn(
  { perSecond, seed, isLimited = true }: {
    perSecond: number;
    seed: number;
    isLimited?: boolean;
  },
): ZoneReturn {
  const random = createRandom(seed);
  const daemons = createDaemons(createColdDocument(isLimited));
  const seen = daemons.map(() => 0);
  const loads = new Map<string, number>();
  const result: ZoneReturn = { arrivals: [], sent: 0, refused: 0 };
  let pending: Pending[] = [];
  let now = 0;
  const schedule = (afterMs: number, act: () => void) =>
    pending.push({ at: now + afterMs, act });

  function tellAll(runners: Runner[], removedIds: string[]): void {
    for (const harness of daemons) {
      schedule(nextFloat(random) * MAX_LAG_MS, () =>
        harness.feed({
          kind: "runners_read",
          runners,
          removedIds,
          isWhole: false,
          position: { timeline: 1, offset: now },
          confirmedAt: harness.state.now,
        }));
    }
  }

  /** Passes a load report on to the other daemons of the zone. */
  function shareReport(
    from: GatewayHarness,
    report: { runner: string; running: number; waiting: number },
  ): void {
    const { zone } = from.state.gateway!;
    for (const harness of daemons) {
      if (harness === from || harness.state.gateway!.zone !== zone) continue;
      schedule(REPORT_LAG_MS, () =>
        harness.feed({
          kind: "limits_reported",
          limits: [],
          loads: [{ ...report, ageMs: REPORT_LAG_MS }],
        }));
    }
  }

  function serve(
    harness: GatewayHarness,
    { request, attempt, runner }: {
      request: string;
      attempt: number;
      runner: string;
    },
  ): void {
    const load = (loads.get(runner) ?? 0) + 1;
    loads.set(runner, load);
    result.arrivals.push({ head: runner, at: now, load });
    const answer = { request, attempt, status: 200, verdict: "ran" as const };
    schedule(HEADERS_MS, () => {
      const here = loads.get(runner)!;
      const running = Math.min(SLOTS, here);
      const report = { running, waiting: here - running };
      harness.feed({ kind: "response_started", ...answer, load: report });
      shareReport(harness, { runner, ...report });
    });
    schedule(RESPONSE_MS, () => {
      loads.set(runner, loads.get(runner)! - 1);
      harness.feed({ kind: "response_ended", ...answer, isRelayable: false });
    });
  }

  function callDaemon(number: number): void {
    const isAtHome = nextFloat(random) < HOME_SHARE;
    const others = daemons.length - DAEMONS_PER_ZONE;
    const index = isAtHome
      ? nextIndex(random, DAEMONS_PER_ZONE)
      : DAEMONS_PER_ZONE + nextIndex(random, others);
    result.sent += 1;
    sendRequest(daemons[index]!, `request-${number}`, {
      path: "/chat/1",
      model: "small",
      deadlineMs: 2_000,
    });
  }

  function carryOut(): void {
    daemons.forEach((harness, index) => {
      for (; seen[index]! < harness.effects.length; seen[index]! += 1) {
        const effect = harness.effects[seen[index]!]!;
        if (effect.kind === "send_to_runner") serve(harness, effect);
        if (effect.kind === "refuse") result.refused += 1;
      }
    });
  }

  /** Confirms the data of all daemons, as their reads of the store do all the time. */
  function confirmAll(): void {
    for (const harness of daemons) {
      for (const topic of ["routing", "runners"] as const) {
        harness.feed({
          kind: "freshness_confirmed",
          topic,
          confirmedAt: harness.state.now,
        });
      }
    }
  }

  const home = createHeads(ZONES[0]!, {});
  tellAll(ZONES.flatMap((zone) => createHeads(zone, {})), []);
  let called = 0;
  for (; now < ENDS_AT; now += STEP_MS) {
    if (now === GONE_AT) tellAll([], home.map(({ id }) => id));
    if (now === BACK_AT) {
      const coldForMs = COLD_START.durationMs;
      const back = { startedUnixMs: 2, coldForMs };
      tellAll(createHeads(ZONES[0]!, back), []);
    }
    for (const harness of daemons) harness.advance(STEP_MS);
    if (now % CONFIRMATION_INTERVAL_MS === 0) confirmAll();
    const due = pending.filter(({ at }) => at <= now);
    pending = pending.filter(({ at }) => at > now);
    for (const { act } of due) act();
    const callsDue = Math.floor(
      Math.max(0, now - SECOND_MS) * perSecond / SECOND_MS,
    );
    for (; called < callsDue; called += 1) callDaemon(called);
    carryOut();
  }
  return result;
}
