import { expect } from "chai";
import { nextFloat, type Random } from "../util/random.ts";
import { createRandom } from "../util/random.ts";
import {
  createHarness,
  createHead,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "../gateway/test_fixture.ts";

const STEP_MS = 10;
const PREFILL_MS = 150;
const RESPONSE_MS = 600;
/** Time from the first answer that names a limit, after which it must be kept, ms. */
const SETTLE_MS = 3_000;
/** Time after which a daemon must keep a limit that it has passed on, ms. */
const TOLD_MS = 500;
const WINDOW_MS = 4_000;
const ALLOWED_RATIO = 1.5;
const ALLOWED_EXTRA = 5;

interface Arrival {
  runner: string;
  daemon: number;
  at: number;
}

interface LimitedFleet {
  arrivals: Arrival[];
  refused: number;
  /** Limits that runners name at present, requests a second. */
  limits: Map<string, number>;
  /** Sends `perSecond` requests a second to daemons at random, weighted as given. */
  run(ms: number, options: { perSecond: number }): void;
  /** Largest number of requests beyond what a limit allows in any window; at most 0 where all limits were kept. */
  worstExcess(): number;
  /** Removes the entries of runners that go on, or puts them back. */
  setListed(runners: readonly string[], isListed: boolean): void;
  now(): number;
}

interface Pending {
  at: number;
  act(): void;
}

function pickWeighted(random: Random, weights: readonly number[]): number {
  let left = nextFloat(random) * weights.reduce((sum, each) => sum + each, 0);
  return Math.max(0, weights.findIndex((weight) => (left -= weight) < 0));
}

function createDaemon(index: number, count: number): GatewayHarness {
  const entryOf = (number: number) => ({
    node: `entry-${number}`,
    zone: "suva-a",
    address: "127.0.0.1:1",
    incarnation: "1",
    cores: 1,
  });
  const daemon = createHarness({ self: entryOf(index) }, { seed: index + 1 });
  const daemons = Array.from({ length: count }, (_, number) => entryOf(number));
  daemon.feed({
    kind: "daemons_read",
    daemons,
    isWhole: true,
    isPassedOn: false,
  });
  return daemon;
}

/** Creates daemons whose callers are spread over them by weight, before heads of groups that may name limits. */
function createLimitedFleet(
  { weights, heads }: { weights: number[]; heads: number },
): LimitedFleet {
  const daemons = weights.map((_, index) =>
    createDaemon(index, weights.length)
  );
  const runners = Array.from(
    { length: heads },
    (_, index) => createHead(`head-${index}`),
  );
  for (const daemon of daemons) publish(daemon, { runners });
  const random = createRandom(7);
  const limits = new Map<string, number>();
  const arrivals: Arrival[] = [];
  /** Times at which a daemon first passed on an answer with a limit, by runner and daemon. */
  const toldAt = new Map<string, number>();
  const named = new Map<string, { at: number; limit: number }>();
  const pending: Pending[] = [];
  let now = 0;
  let count = 0;
  let due = 0;

  function carryOut(
    daemon: number,
    effects: ReturnType<GatewayHarness["feed"]>,
  ): void {
    fleet.refused += effectsOf(effects, "refuse").length;
    for (const send of effectsOf(effects, "send_to_runner")) {
      const { request, attempt, runner } = send;
      arrivals.push({ runner, daemon, at: now });
      const at = { request, attempt };
      pending.push({
        at: now + PREFILL_MS,
        act: () => begin(daemon, runner, at),
      });
      pending.push({
        at: now + RESPONSE_MS,
        act: () =>
          feed(daemon, {
            kind: "response_ended",
            ...at,
            status: 200,
            verdict: "ran",
            isRelayable: false,
          }),
      });
    }
  }

  function feed(
    daemon: number,
    event: Parameters<GatewayHarness["feed"]>[0],
  ): void {
    carryOut(daemon, daemons[daemon]!.feed(event));
  }

  function begin(
    daemon: number,
    runner: string,
    at: { request: string; attempt: number },
  ): void {
    const limit = limits.get(runner);
    if (limit !== undefined) {
      if (!named.has(runner)) named.set(runner, { at: now, limit });
      const key = `${runner} ${daemon}`;
      if (!toldAt.has(key)) toldAt.set(key, now);
    }
    feed(daemon, {
      kind: "response_started",
      ...at,
      status: 200,
      verdict: "ran",
      load: undefined,
      requestsPerSecond: limit,
    });
    feed(daemon, { kind: "response_progressed", ...at, lastEvent: "1" });
  }

  function step(perSecond: number): void {
    now += STEP_MS;
    if (now % 1_000 === 0) {
      for (const index of daemons.keys()) {
        for (const topic of ["routing", "runners"] as const) {
          feed(index, { kind: "freshness_confirmed", topic, confirmedAt: now });
        }
      }
    }
    for (const [index, daemon] of daemons.entries()) {
      carryOut(index, daemon.advance(STEP_MS));
    }
    for (const each of pending.filter(({ at }) => at <= now)) {
      pending.splice(pending.indexOf(each), 1);
      each.act();
    }
    due += perSecond * STEP_MS / 1_000;
    while (due >= 1) {
      due -= 1;
      count += 1;
      const index = pickWeighted(random, weights);
      carryOut(
        index,
        sendRequest(daemons[index]!, `r${count}`, {
          path: "/chat/1",
          model: "small",
          deadlineMs: 6_000,
        }),
      );
    }
  }

  function excessOf(runner: string): number {
    const { at: namedAt, limit } = named.get(runner)!;
    const counted = arrivals.filter((each) =>
      each.runner === runner && each.at > namedAt + SETTLE_MS &&
      each.at >=
        (toldAt.get(`${runner} ${each.daemon}`) ?? Infinity) + TOLD_MS
    );
    const allowed = ALLOWED_RATIO * limit * WINDOW_MS / 1_000 + ALLOWED_EXTRA;
    const inWindow = counted.map(({ at: from }) =>
      counted.filter(({ at }) => at >= from && at < from + WINDOW_MS).length
    );
    return Math.max(0, ...inWindow) - allowed;
  }

  const fleet: LimitedFleet = {
    arrivals,
    refused: 0,
    limits,
    run(ms, { perSecond }) {
      for (const end = now + ms; now < end;) step(perSecond);
    },
    worstExcess: () => Math.max(...[...named.keys()].map(excessOf)),
    setListed(ids, isListed) {
      for (const index of daemons.keys()) {
        feed(index, {
          kind: "runners_read",
          runners: isListed ? runners.filter(({ id }) => ids.includes(id)) : [],
          removedIds: isListed ? [] : [...ids],
          isWhole: false,
          position: { timeline: 1, offset: now },
          confirmedAt: now,
        });
      }
    },
    now: () => now,
  };
  return fleet;
}

/** Returns the requests a second that a runner got from a time on. */
function rateOf(
  { arrivals, now }: LimitedFleet,
  { runner, from }: { runner: string; from: number },
): number {
  const count =
    arrivals.filter((each) => each.runner === runner && each.at >= from).length;
  return count / (now() - from) * 1_000;
}

describe("a runner that names a limit on its requests", () => {
  const fleets = [
    { weights: [1, 1, 1, 1, 1, 1, 1, 1], heads: 20, perSecond: 110 },
    { weights: [4, 3, 2, 1, 1, 1, 0.5, 0.5], heads: 20, perSecond: 110 },
    { weights: Array.from({ length: 60 }, () => 1), heads: 30, perSecond: 250 },
  ];
  for (const { weights, heads, perSecond } of fleets) {
    // Guards against a runner that gets far more requests than the limit that it named.
    it(`gets no more than it from ${weights.length} daemons together, with weights ${weights.slice(0, 4)}`, () => {
      const fleet = createLimitedFleet({ weights, heads });
      fleet.run(3_000, { perSecond });
      for (let index = 0; index < heads * 0.7; index += 1) {
        fleet.limits.set(`head-${index}`, 1 + index % 4);
      }
      fleet.run(15_000, { perSecond });
      expect(fleet.worstExcess()).to.be.at.most(0);
    });
  }

  it("gets no more than it either where its entry lapses and comes back", () => {
    const weights = [1, 1, 1, 1, 1, 1, 1, 1];
    const fleet = createLimitedFleet({ weights, heads: 10 });
    const limited = ["head-0", "head-1", "head-2"];
    for (const runner of limited) fleet.limits.set(runner, 1);
    fleet.run(6_000, { perSecond: 100 });
    for (let round = 0; round < 6; round += 1) {
      fleet.setListed(limited, false);
      fleet.run(1_500, { perSecond: 100 });
      fleet.setListed(limited, true);
      fleet.run(500, { perSecond: 100 });
    }
    expect(fleet.worstExcess()).to.be.at.most(0);
  });

  it("is still used up to its limit, and in full once it names none any more", () => {
    const weights = [3, 2, 2, 1, 1, 1, 1, 1];
    const fleet = createLimitedFleet({ weights, heads: 10 });
    const limited = ["head-0", "head-1", "head-2", "head-3"];
    fleet.run(3_000, { perSecond: 100 });
    for (const runner of limited) fleet.limits.set(runner, 4);
    fleet.run(3_000, { perSecond: 100 });
    const from = fleet.now();
    fleet.run(10_000, { perSecond: 100 });
    for (const runner of limited) {
      expect(rateOf(fleet, { runner, from })).to.be.above(0.5 * 4);
    }
    fleet.limits.clear();
    fleet.run(10_000, { perSecond: 100 });
    const since = fleet.now();
    fleet.run(5_000, { perSecond: 100 });
    for (const runner of limited) {
      expect(rateOf(fleet, { runner, from: since })).to.be.above(2 * 4);
    }
  });

  it("costs callers nothing while other runners have free slots", () => {
    const fleet = createLimitedFleet({ weights: [1, 1, 1, 1], heads: 20 });
    fleet.run(3_000, { perSecond: 60 });
    for (let index = 0; index < 14; index += 1) {
      fleet.limits.set(`head-${index}`, 1);
    }
    fleet.run(10_000, { perSecond: 60 });
    expect(fleet.refused).to.equal(0);
  });
});
