import { expect } from "chai";
import { effectsOf, refusalOf } from "../gateway/test_fixture.ts";
import { type CrashingFleet, createCrashingFleet } from "./test_fleet.ts";

/** Crashes under one request after which it must be known to cause them. */
const KNOWN_AFTER_CRASHES = 3;
/** Time after that crash from which on hardly any copy of the request may reach a runner, ms. */
const SETTLE_MS = 3_000;
const MAX_LATE_SENDS = 3;

/** Sends a copy of a request each `everyMs`, at each daemon in turn, and other requests beside it. */
function sendCopies(
  fleet: CrashingFleet,
  { fingerprint, everyMs, ms }: {
    fingerprint: string;
    everyMs: number;
    ms: number;
  },
): void {
  const start = fleet.now();
  fleet.run(ms, (now) => {
    const elapsed = now - start;
    if (elapsed % everyMs === 0) {
      fleet.request(`${fingerprint}-${now}`, {
        daemon: elapsed / everyMs,
        parts: [],
        fingerprint,
      });
    }
    if (elapsed % 100 !== 0) return;
    fleet.request(`other-${now}`, {
      daemon: elapsed / 100,
      parts: [],
      fingerprint: `other-${now}`,
    });
  });
}

/** Returns the sends of a request later than {@link SETTLE_MS} after the third crash under it. */
function lateSends(fleet: CrashingFleet, fingerprint: string): number {
  const { sent, crashes } = fleet;
  const knownAt = crashes[KNOWN_AFTER_CRASHES - 1] ?? Infinity;
  return sent.filter((each) =>
    each.fingerprint === fingerprint && each.at > knownAt + SETTLE_MS
  ).length;
}

const servedShare = ({ daemons }: CrashingFleet, name: string) => {
  const ends = daemons.flatMap(({ effects }) => effectsOf(effects, "log"))
    .filter(({ event, fields }) =>
      event === "request_ended" && String(fields.request).startsWith(name)
    );
  const served = ends.filter(({ fields }) => fields.verdict === "ran");
  return served.length / ends.length;
};

describe("a request that crashes every runner that runs it", () => {
  for (const everyMs of [40, 200, 1_000, 1_500, 3_500, 5_000]) {
    // Guards against copies that are sent on and on, each by a daemon that knows of no crash (incident second1).
    it(`is soon sent no more, with a copy each ${everyMs} ms at 8 daemons`, () => {
      const fleet = createCrashingFleet({ daemons: 8, heads: 12 });
      fleet.crashingRequests.add("poison");
      fleet.run(2_000);
      sendCopies(fleet, { fingerprint: "poison", everyMs, ms: 80_000 });
      expect(lateSends(fleet, "poison")).to.be.at.most(MAX_LATE_SENDS);
      expect(servedShare(fleet, "other-")).to.be.above(0.8);
    });
  }

  // Guards against a refusal that says "not run" of a request that has crashed a runner.
  it("is answered as one that may have run, and its copies as not run", () => {
    const fleet = createCrashingFleet({ daemons: 1, heads: 12 });
    fleet.crashingRequests.add("poison");
    fleet.run(2_000);
    const before = fleet.daemons[0]!.effects.length;
    sendCopies(fleet, { fingerprint: "poison", everyMs: 500, ms: 4_000 });
    const { effects } = fleet.daemons[0]!;
    expect(refusalOf(effects.slice(before))).to.include({
      verdict: "may_have_run",
    });
    const copy = fleet.request("copy", {
      daemon: 0,
      parts: [],
      fingerprint: "poison",
    });
    expect(refusalOf(copy)).to.include({
      code: "request_quarantined",
      verdict: "not_run",
    });
    expect(refusalOf(copy)!.retryAfterMs).to.be.above(0);
  });

  it("is not taken for another request of the same parts that is sound", () => {
    const fleet = createCrashingFleet({ daemons: 4, heads: 12 });
    fleet.crashingRequests.add("poison");
    fleet.run(2_000);
    fleet.run(12_000, (now) => {
      if (now % 500 === 0) {
        fleet.request(`poison-${now}`, {
          daemon: now / 500,
          parts: ["system"],
          fingerprint: "poison",
        });
      }
      if (now % 250 === 0) {
        fleet.request(`sound-${now}`, {
          daemon: now / 250,
          parts: ["system"],
          fingerprint: `sound-${now}`,
        });
      }
    });
    const held = fleet.daemons.flatMap(({ effects }) =>
      effectsOf(effects, "refuse").filter(({ request, code }) =>
        request.startsWith("sound") && /quarantined/.test(code)
      )
    );
    expect(held).to.deep.equal([]);
  });

  // Guards against sound requests that repeat and are given up since they met runners that crash by themselves.
  it("is not mistaken for a sound one that repeats while runners crash by themselves", () => {
    const fleet = createCrashingFleet({ daemons: 4, heads: 12 });
    fleet.run(2_000);
    fleet.run(30_000, (now) => {
      if (now % 300 === 0) {
        fleet.request(`repeat-${now}`, {
          daemon: now / 300,
          parts: [],
          fingerprint: "repeat",
        });
      }
      if (now % 700 === 0) fleet.crash(fleet.runners[(now / 700) % 12]!);
    });
    const held = fleet.daemons.flatMap(({ effects }) =>
      effectsOf(effects, "refuse").filter(({ code }) =>
        /quarantined/.test(code)
      )
    );
    expect(held).to.deep.equal([]);
    expect(servedShare(fleet, "repeat-")).to.be.above(0.8);
  });
});
