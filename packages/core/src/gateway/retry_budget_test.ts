import { expect } from "chai";
import fc from "fast-check";
import type { DaemonEntry } from "../read_sharing/types.ts";
import {
  createDocument,
  createHarness,
  createRoute,
  createRunner,
  effectsOf,
  failAttempt,
  type GatewayHarness,
  publish,
  sendRequest,
  SETTINGS,
} from "./test_fixture.ts";

const RUNNERS = Array.from(
  { length: 8 },
  (_, index) => createRunner(`desk-${index}`),
);
const DOCUMENT = createDocument({ routes: [createRoute({ maxAttempts: 6 })] });
const { retryRatio, retryWindowMs } = SETTINGS;

/** An arrival at the runners: a request's first one, or a retry. */
interface Arrival {
  at: number;
  isRetry: boolean;
}

/** A daemon of a fleet, and the time of the fleet at which its process started. */
interface FleetDaemon {
  harness: GatewayHarness;
  startedAt: number;
}

/** One step of a fleet's history. */
interface Step {
  waitMs: number;
  /** Requests that callers send, to one daemon or spread over all. */
  requests: number;
  target: "first" | "any" | "all";
  /** Daemons that start again before the requests. */
  restarts: "none" | "one" | "all";
}

function createEntries(count: number): DaemonEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    node: `entry-${index}`,
    zone: "suva-a",
    address: `entry-${index}:1`,
    incarnation: "1",
    cores: 1,
  }));
}

function startDaemon(
  entries: DaemonEntry[],
  { index, slack, startedAt }: {
    index: number;
    slack: number;
    startedAt: number;
  },
): FleetDaemon {
  const self = entries[index]!;
  const harness = createHarness({ self, retrySlack: slack }, {
    seed: index + 1,
    retries: 0,
  });
  publish(harness, { runners: RUNNERS, document: DOCUMENT });
  harness.feed({
    kind: "daemons_read",
    daemons: entries.filter((entry) => entry !== self),
    isWhole: true,
    isPassedOn: false,
  });
  return { harness, startedAt };
}

/** Sends requests that every runner fails, and returns the arrivals that they cause. */
function sendFailing(
  { harness, startedAt }: FleetDaemon,
  { count, prefix }: { count: number; prefix: string },
): Arrival[] {
  const { state } = harness;
  const at = startedAt + state.now;
  const arrivals: Arrival[] = [];
  for (let index = 0; index < count; index += 1) {
    const id = `${prefix}-${index}`;
    let sends = effectsOf(sendRequest(harness, id), "send_to_runner");
    while (sends.length > 0) {
      const { attempt } = sends[0]!;
      arrivals.push({ at, isRetry: attempt > 1 });
      const outcome = "reset_after_send";
      const effects = failAttempt(harness, id, { attempt, outcome });
      sends = effectsOf(effects, "send_to_runner");
    }
    for (const stats of state.gateway!.runnerStats.values()) {
      stats.avoidUntil = 0;
    }
  }
  return arrivals;
}

/** Plays a history and returns all arrivals at the runners. */
function playFleet(
  { count, slack, steps }: { count: number; slack: number; steps: Step[] },
): Arrival[] {
  const entries = createEntries(count);
  let now = 0;
  const start = (index: number) =>
    startDaemon(entries, { index, slack, startedAt: now });
  const daemons = entries.map((_, index) => start(index));
  const arrivals: Arrival[] = [];
  for (const [turn, step] of steps.entries()) {
    for (const { harness } of daemons) harness.advance(step.waitMs);
    now += step.waitMs;
    const chosen = step.target === "any" ? turn % count : 0;
    for (const index of daemons.keys()) {
      const isRestarted = step.restarts === "all" ||
        (step.restarts === "one" && index === chosen);
      if (isRestarted) daemons[index] = start(index);
    }
    for (const [index, daemon] of daemons.entries()) {
      if (step.target !== "all" && index !== chosen) continue;
      const prefix = `r${turn}-${index}`;
      const options = { count: step.requests, prefix };
      arrivals.push(...sendFailing(daemon, options));
    }
  }
  return arrivals;
}

/** Returns by how many retries the worst window goes beyond what is allowed; at most 0 where all are within bounds. */
function worstExcess(arrivals: readonly Arrival[], slack: number): number {
  let worst = -Infinity;
  for (const { at: end } of arrivals) {
    const inWindow = arrivals.filter(({ at }) =>
      at > end - retryWindowMs && at <= end
    );
    const retries = inWindow.filter(({ isRetry }) => isRetry).length;
    const requests = inWindow.length - retries;
    worst = Math.max(worst, retries - retryRatio * requests - slack);
  }
  return worst;
}

const steps = fc.array(
  fc.record<Step>({
    waitMs: fc.constantFrom(0, 50, 400, 1_000, 2_500),
    requests: fc.integer({ min: 0, max: 25 }),
    target: fc.constantFrom("first", "any", "all"),
    restarts: fc.constantFrom("none", "none", "none", "one", "all"),
  }),
  { minLength: 1, maxLength: 24 },
);

describe("the retries of all daemons together", () => {
  // Guards against issue 38: shares that add up to more than one, and processes that forget at a start what they spent.
  it("stay within the budget in every window, for unequal daemons and in herds of restarts", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 20 }),
        fc.integer({ min: 0, max: 60 }),
        steps,
        (count, slack, steps) => {
          const arrivals = playFleet({ count, slack, steps });
          expect(worstExcess(arrivals, slack)).to.be.at.most(0);
        },
      ),
      { numRuns: 60 },
    );
  });

  // Guards against the record of issue 38: 195 daemons whose requests all fail from the start of traffic on.
  it("stay within it from the start of traffic on, for a large fleet", () => {
    const count = 195;
    const slack = 472;
    const second: Step = {
      waitMs: 1_000,
      requests: 4,
      target: "all",
      restarts: "none",
    };
    const steps = Array.from({ length: 12 }, () => second);
    const arrivals = playFleet({ count, slack, steps });
    expect(worstExcess(arrivals, slack)).to.be.at.most(0);
  });

  it("are most of what the budget allows where every request fails", () => {
    const count = 9;
    const slack = 109;
    const steps: Step[] = Array.from({ length: 100 }, () => ({
      waitMs: 100,
      requests: 1,
      target: "all",
      restarts: "none",
    }));
    const arrivals = playFleet({ count, slack, steps });
    const retries = arrivals.filter(({ isRetry }) => isRetry).length;
    const requests = arrivals.length - retries;
    expect(retries).to.be.at.least(0.9 * retryRatio * requests);
  });
});
