import { expect } from "chai";
import type { Effect } from "../effect/types.ts";
import type { LogRecord, StoredRecord } from "../fold/types.ts";
import { reduce } from "../reduce.ts";
import { createState } from "../state/create_state.ts";
import type { State } from "../state/types.ts";
import { holdsLease, LEASE_MS } from "./lease.ts";

const LEASE = "snapshots";
const STEP_MS = 50;
const DOCUMENT = {
  base: {
    version: 1,
    owners: { tavua: { share: 1, teams: {} } },
    deployments: {},
  },
  overlays: {},
};

interface Daemon {
  state: State;
  /** Rate of its clock relative to true time. */
  rate: number;
  offsetMs: number;
  pausedUntil: number;
}

interface Fixture {
  log: StoredRecord[];
  daemons: Daemon[];
  now: number;
  logDelayMs: number;
  /** Maximum number of holders at the same time. */
  maxHolders: number;
}

function createFixture(rates: readonly number[], logDelayMs = 0): Fixture {
  const config: LogRecord = {
    type: "config",
    basedOn: 0,
    document: DOCUMENT,
    author: "a",
    id: "c",
    level: 1,
  };
  const daemons = rates.map((rate, index): Daemon => {
    const node = {
      name: `entry-${index}`,
      zone: "z",
      site: "z",
      incarnation: "1",
      balancerLagMs: 0,
    };
    const offsetMs = index * 1_000_000;
    return {
      state: createState(node, { seed: index + 1, now: offsetMs }),
      rate,
      offsetMs,
      pausedUntil: 0,
    };
  });
  return {
    log: [{ offset: 1, at: 0, record: config }],
    daemons,
    now: 0,
    logDelayMs,
    maxHolders: 0,
  };
}

const pendingRecords: { due: number; record: LogRecord }[] = [];

function appendRecords(fixture: Fixture, effects: readonly Effect[]): void {
  for (const effect of effects) {
    if (effect.kind !== "append") continue;
    for (const record of effect.records) {
      pendingRecords.push({ due: fixture.now + fixture.logDelayMs, record });
    }
  }
}

function holders({ daemons, now }: Fixture): Daemon[] {
  return daemons.filter((daemon) => {
    const lease = daemon.state.leases.get(LEASE);
    const clock = daemon.offsetMs + now * daemon.rate;
    return lease !== undefined && now >= daemon.pausedUntil &&
      holdsLease(
        { ...daemon.state, now: Math.max(daemon.state.now, clock) },
        lease,
      );
  });
}

function advanceTo(fixture: Fixture, until: number): void {
  const { log, daemons } = fixture;
  for (; fixture.now < until; fixture.now += STEP_MS) {
    for (
      const { record } of pendingRecords.filter(({ due }) => due <= fixture.now)
    ) {
      log.push({ offset: log.length + 1, at: fixture.now, record });
    }
    const rest = pendingRecords.filter(({ due }) => due > fixture.now);
    pendingRecords.splice(0, pendingRecords.length, ...rest);
    for (const { state, rate, offsetMs, pausedUntil } of daemons) {
      if (fixture.now < pausedUntil) continue;
      const at = offsetMs + fixture.now * rate;
      appendRecords(fixture, reduce(state, { kind: "tick", at }));
      const records = structuredClone(log.slice(state.fold.next - 1));
      appendRecords(
        fixture,
        reduce(state, {
          kind: "log_read",
          records,
          head: log.length,
          horizon: 1,
          at,
        }),
      );
    }
    fixture.maxHolders = Math.max(
      fixture.maxHolders,
      holders(fixture).length,
    );
  }
}

function nameOf(daemon: Daemon | undefined): string | undefined {
  return daemon?.state.node.name;
}

describe("leases", () => {
  beforeEach(() => pendingRecords.splice(0));

  it("are held by one daemon, which keeps them by renewal", () => {
    const fixture = createFixture([1, 1, 1]);
    advanceTo(fixture, 5_000);
    const first = nameOf(holders(fixture)[0]);
    advanceTo(fixture, 120_000);
    expect(fixture.maxHolders).to.equal(1);
    expect(nameOf(holders(fixture)[0])).to.equal(first);
  });

  it("are taken over within twice the lease time once the holder is paused, and never have two holders", () => {
    const fixture = createFixture([1, 1, 1]);
    advanceTo(fixture, 5_000);
    const holder = holders(fixture)[0]!;
    holder.pausedUntil = 60_000;
    const pausedAt = fixture.now;
    while (holders(fixture).length === 0 && fixture.now < 60_000) {
      advanceTo(fixture, fixture.now + 100);
    }
    expect(fixture.now - pausedAt).to.be.at.most(2 * LEASE_MS);
    advanceTo(fixture, 90_000);
    expect(fixture.maxHolders).to.equal(1);
    expect(nameOf(holders(fixture)[0])).to.not.equal(nameOf(holder));
  });

  const CLOCKS = [
    { name: "clocks that differ by hours", rates: [1, 1, 1], logDelayMs: 0 },
    {
      name: "a slow holder's clock and fast observers",
      rates: [0.92, 1.08, 1.08],
      logDelayMs: 0,
    },
    {
      name: "fast and slow clocks and a slow log",
      rates: [1.08, 0.92, 1],
      logDelayMs: 1_500,
    },
  ];
  for (const { name, rates, logDelayMs } of CLOCKS) {
    it(`never have two holders under ${name}, with the holder paused repeatedly`, () => {
      const fixture = createFixture(rates, logDelayMs);
      for (let round = 1; round <= 12; round++) {
        advanceTo(fixture, fixture.now + 9_000);
        const [holder] = holders(fixture);
        if (holder !== undefined) {
          holder.pausedUntil = fixture.now + round * 2_000;
        }
      }
      advanceTo(fixture, fixture.now + 60_000);
      expect(fixture.maxHolders).to.equal(1);
      expect(holders(fixture).length).to.equal(1);
    });
  }
});
