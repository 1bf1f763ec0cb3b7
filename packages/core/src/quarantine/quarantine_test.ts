import { expect } from "chai";
import { effectsOf, refusalOf } from "../gateway/test_fixture.ts";
import { MAX_PARTS, MAX_SERVED_PARTS } from "./constants.ts";
import { type CrashingFleet, createCrashingFleet } from "./test_fleet.ts";

/** Crashes after which a part of a prompt must be known to cause them. */
const KNOWN_AFTER_CRASHES = 5;
/** Time after that crash from which on hardly any request with the part may reach a runner, ms. */
const SETTLE_MS = 3_000;
const MAX_LATE_SENDS = 3;
/** Part of the prompts of all requests of a route. */
const SYSTEM = "system";

function lateSends({ sent, crashes }: CrashingFleet, part: string): number {
  const knownAt = crashes[KNOWN_AFTER_CRASHES - 1] ?? Infinity;
  return sent.filter(({ parts, at }) =>
    parts.includes(part) && at > knownAt + SETTLE_MS
  ).length;
}

/** Requests of one kind that arrive at daemons in turn. */
interface Traffic {
  name: string;
  everyMs: number;
  /** Shared parts of the prompt of the request with this number. */
  parts(count: number): string[];
}

interface Offered {
  id: string;
  at: number;
}

/** Sends requests for a time; returns those that were sent. */
function offer(
  fleet: CrashingFleet,
  { ms, traffic }: { ms: number; traffic: Traffic[] },
): Offered[] {
  const offered: Offered[] = [];
  const start = fleet.now();
  fleet.run(ms, (now) => {
    for (const { name, everyMs, parts } of traffic) {
      if ((now - start) % everyMs !== 0) continue;
      const count = offered.length;
      const id = `${name}-${start}-${count}`;
      offered.push({ id, at: now });
      fleet.request(id, {
        daemon: count * 7,
        parts: parts(count),
      });
    }
  });
  return offered;
}

/** Share of the offered requests of a kind that a runner began to answer, of those that arrived from a time on. */
function begunShare(
  fleet: CrashingFleet,
  { offered, name, from = 0 }: {
    offered: Offered[];
    name: string;
    from?: number;
  },
): number {
  const begun = new Set(
    fleet.sent.filter(({ hasBegun }) => hasBegun).map(({ request }) => request),
  );
  const counted = offered.filter(({ id, at }) =>
    id.startsWith(`${name}-`) && at >= from
  );
  return counted.filter(({ id }) => begun.has(id)).length / counted.length;
}

const sound: Traffic = {
  name: "sound",
  everyMs: 50,
  parts: () => [SYSTEM, "manual"],
};
const crashing: Traffic = {
  name: "crash",
  everyMs: 100,
  parts: (count) => [SYSTEM, "bad", `own-${count}`],
};

describe("requests that crash every runner that serves them", () => {
  // Guards against requests with a part under which five runners had crashed and that went to dozens more.
  it("stop reaching runners once a part of their prompts is known to crash them, while others are served", () => {
    const fleet = createCrashingFleet({ daemons: 1, heads: 30 });
    fleet.crashingParts.add("bad");
    offer(fleet, { ms: 5_000, traffic: [sound] });
    const from = fleet.now() + 2 * SETTLE_MS;
    const offered = offer(fleet, { ms: 20_000, traffic: [crashing, sound] });
    expect(fleet.crashes.length).to.be.at.least(KNOWN_AFTER_CRASHES - 2);
    expect(lateSends(fleet, "bad")).to.be.at.most(MAX_LATE_SENDS);
    expect(begunShare(fleet, { offered, name: "sound", from }))
      .to.be.above(0.5);
  });

  const fleets = [
    { daemons: 8, heads: 30, everyMs: 40, ms: 90_000 },
    { daemons: 8, heads: 30, everyMs: 1_000, ms: 90_000 },
    { daemons: 60, heads: 60, everyMs: 50, ms: 30_000 },
  ];
  for (const { daemons, heads, everyMs, ms } of fleets) {
    // Guards against the same where each of many daemons sees only a few of the crashes.
    it(`are known to all of ${daemons} daemons soon, with one request each ${everyMs} ms`, () => {
      const fleet = createCrashingFleet({ daemons, heads });
      fleet.crashingParts.add("bad");
      offer(fleet, { ms: 3_000, traffic: [sound] });
      const offered = offer(fleet, {
        ms,
        traffic: [{ ...crashing, everyMs }, sound],
      });
      expect(fleet.crashes.length).to.be.above(2);
      expect(lateSends(fleet, "bad")).to.be.at.most(MAX_LATE_SENDS);
      const from = offered[0]!.at + 3 * SETTLE_MS;
      expect(begunShare(fleet, { offered, name: "sound", from }))
        .to.be.above(0.9);
    });
  }

  it("are refused at once as not run", () => {
    const fleet = createCrashingFleet({ daemons: 2, heads: 30 });
    fleet.crashingParts.add("bad");
    fleet.lead(0);
    offer(fleet, { ms: 5_000, traffic: [crashing, sound] });
    const effects = fleet.request("late", {
      daemon: 1,
      parts: [SYSTEM, "bad"],
    });
    expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
    expect(refusalOf(effects)).to.include({
      code: "prompt_quarantined",
      verdict: "not_run",
    });
  });

  it("are refused at once where two parts crash runners one after the other", () => {
    const fleet = createCrashingFleet({ daemons: 8, heads: 40 });
    fleet.crashingParts.add("bad").add("worse");
    offer(fleet, { ms: 10_000, traffic: [crashing, sound] });
    fleet.crashes.length = 0;
    offer(fleet, {
      ms: 30_000,
      traffic: [
        crashing,
        sound,
        {
          ...crashing,
          name: "worse",
          parts: () => [SYSTEM, "manual", "worse"],
        },
      ],
    });
    expect(lateSends(fleet, "worse")).to.be.at.most(MAX_LATE_SENDS);
  });

  it("are served again soon after their part crashes nothing any more", () => {
    const fleet = createCrashingFleet({ daemons: 8, heads: 30 });
    fleet.crashingParts.add("bad");
    offer(fleet, { ms: 5_000, traffic: [crashing, sound] });
    fleet.crashingParts.clear();
    const offered = offer(fleet, { ms: 30_000, traffic: [crashing, sound] });
    const from = offered[0]!.at + 20_000;
    expect(begunShare(fleet, { offered, name: "crash", from }))
      .to.be.above(0.9);
  });

  it("are still known after all daemons have read the records again", () => {
    const fleet = createCrashingFleet({ daemons: 2, heads: 30 });
    fleet.crashingParts.add("bad");
    offer(fleet, { ms: 5_000, traffic: [crashing, sound] });
    const readings = [...fleet.daemons[0]!.state.quarantine.suspects.values()]
      .map(({ record }) => ({ record, ageMs: 30_000 }));
    const restarted = createCrashingFleet({ daemons: 1, heads: 5 });
    restarted.lead(1);
    restarted.daemons[0]!.feed({ kind: "parts_read", readings });
    const effects = restarted.request("r", { daemon: 0, parts: ["bad"] });
    expect(refusalOf(effects)!.code).to.equal("prompt_quarantined");
  });
});

describe("sound requests beside crashes", () => {
  // Guards against a quarantine that also refuses what shares other parts with the requests that crash runners.
  it("that share all other parts with requests that crash runners are served on, also rare ones", () => {
    const fleet = createCrashingFleet({ daemons: 8, heads: 40 });
    fleet.crashingParts.add("bad");
    const rare: Traffic = {
      name: "rare",
      everyMs: 700,
      parts: () => [SYSTEM, "annex"],
    };
    const mixed: Traffic = {
      ...crashing,
      parts: (count) =>
        count % 2 === 0 ? [SYSTEM, "annex", "bad"] : [SYSTEM, "bad", "manual"],
    };
    offer(fleet, { ms: 3_000, traffic: [sound] });
    const offered = offer(fleet, { ms: 40_000, traffic: [mixed, sound, rare] });
    const from = offered[0]!.at + 2 * SETTLE_MS;
    expect(begunShare(fleet, { offered, name: "sound", from })).to.be.above(
      0.9,
    );
    expect(begunShare(fleet, { offered, name: "rare", from })).to.be.above(0.9);
  });

  it("are served on at daemons that have only just started, when most runners crash at once", () => {
    const fleet = createCrashingFleet({ daemons: 8, heads: 40 });
    const offered = offer(fleet, { ms: 400, traffic: [sound] });
    for (const id of fleet.runners.slice(0, 20)) fleet.crash(id);
    offered.push(...offer(fleet, { ms: 600, traffic: [sound] }));
    for (const id of fleet.runners.slice(20, 30)) fleet.crash(id);
    offered.push(...offer(fleet, { ms: 5_000, traffic: [sound] }));
    const from = offered[0]!.at + 1_000;
    expect(begunShare(fleet, { offered, name: "sound", from })).to.be.above(
      0.9,
    );
  });

  it("are served on while runners crash for causes of their own", () => {
    const fleet = createCrashingFleet({ daemons: 8, heads: 40 });
    const rare: Traffic = {
      name: "rare",
      everyMs: 900,
      parts: (count) => [SYSTEM, `seldom-${count % 3}`],
    };
    let next = 0;
    const offered: Offered[] = [];
    for (let round = 0; round < 60; round += 1) {
      offered.push(...offer(fleet, { ms: 500, traffic: [sound, rare] }));
      fleet.crash(fleet.runners[(next += 7) % 40]!);
    }
    expect(begunShare(fleet, { offered, name: "sound" })).to.be.above(0.8);
    const blocked = fleet.daemons.flatMap(({ effects }) =>
      effectsOf(effects, "refuse").filter(({ code }) =>
        code === "prompt_quarantined"
      )
    );
    expect(blocked).to.deep.equal([]);
  });

  it("are not suspected where connections break while the runner goes on", () => {
    const fleet = createCrashingFleet({ daemons: 2, heads: 10 });
    for (let round = 0; round < 20; round += 1) {
      offer(fleet, {
        ms: 300,
        traffic: [{ name: "new", everyMs: 100, parts: () => ["fresh"] }],
      });
      for (const id of fleet.runners) fleet.reset(id);
    }
    for (const { state } of fleet.daemons) {
      expect(state.quarantine.suspects.size).to.equal(0);
    }
  });
});

describe("the memory of the quarantine", () => {
  it("is bounded, whatever parts callers send", () => {
    const fleet = createCrashingFleet({ daemons: 1, heads: 4 });
    const { state } = fleet.daemons[0]!;
    const readings = Array.from({ length: 3 * MAX_PARTS }, (_, index) => ({
      record: { part: `p${index}`, round: 0, crashes: 1, trials: 0 },
      ageMs: 0,
    }));
    fleet.daemons[0]!.feed({ kind: "parts_read", readings });
    expect(state.quarantine.suspects.size).to.equal(MAX_PARTS);
    const parts = Array.from(
      { length: 2 * MAX_SERVED_PARTS },
      (_, index) => `s${index}`,
    );
    fleet.request("r", { daemon: 0, parts });
    fleet.run(3_000);
    expect(state.quarantine.servedAt.size).to.equal(MAX_SERVED_PARTS);
  });

  it("drops parts that nothing has concerned for long, and one daemon deletes them from the store", () => {
    const fleet = createCrashingFleet({ daemons: 2, heads: 4 });
    const record = { part: "old", round: 0, crashes: 3, trials: 2 };
    for (const daemon of fleet.daemons) {
      daemon.feed({
        kind: "parts_read",
        readings: [{ record, ageMs: 3_600_000 }],
      });
    }
    fleet.run(2_000);
    const forgotten = fleet.daemons.map(({ state, effects }) => ({
      left: state.quarantine.suspects.size,
      deleted: effectsOf(effects, "forget_parts").map(({ parts }) => parts),
    }));
    expect(forgotten).to.deep.equal([
      { left: 0, deleted: [["old"]] },
      { left: 0, deleted: [] },
    ]);
  });
});
