import type { FollowerMessage } from "@primroseshed/core";
import { expect } from "chai";
import { Packr } from "msgpackr";
import {
  decodeFollowerFrame,
  decodeUpstreamFrame,
  encodeFrame,
} from "./sharing_frames.ts";

const LIMITS = { kind: "limits", limits: [], leaving: [] } as const;
const LOADS = [
  { runner: "g-1", running: 20, waiting: 3, ageMs: 140, slowness: 1.25 },
  { runner: "g-2", running: 0, waiting: 0, ageMs: 0 },
];

const EVIDENCE = [{ runner: "g-1", node: "entry-2", ageMs: 30 }];

const HOLDINGS = {
  zone: "suva-a",
  ids: [4_294_967_295, 7],
  ageMs: 380,
  rows: [
    { route: "chat", team: "t", requests: 3, tokens: 4_200, waiting: 1 },
    { route: "open", team: undefined, requests: 0, tokens: 0, waiting: 2 },
  ],
};

describe("frames of the kind limits", () => {
  // Guards against counts that are lost on the way, also of callers without a team.
  it("carry counts by route and team to and from followers", () => {
    const message: FollowerMessage = {
      kind: "limits",
      limits: [],
      leaving: [],
      holdings: HOLDINGS,
    };
    const frame = encodeFrame(message);
    expect(decodeFollowerFrame(frame)).to.deep.equal(message);
    expect(decodeUpstreamFrame(frame)).to.deep.equal(message);
  });

  // Guards against followers whose counts close their connection as too large a frame.
  it("stay small with the most counts that a daemon sends", () => {
    const row = {
      ...HOLDINGS.rows[0]!,
      route: "r".repeat(32),
      team: "t".repeat(32),
    };
    const rows = Array.from({ length: 32 }, () => row);
    const ids = Array.from({ length: 40 }, () => 4_294_967_295);
    const holdings = { ...HOLDINGS, ids, rows };
    const frame = encodeFrame({ kind: "limits", limits: [], holdings });
    expect(frame.length).to.be.below(5_000);
  });

  // Guards against reports that are lost on the way, and against connections that a new field closes.
  it("carry load reports and evidence to and from followers", () => {
    const message = {
      ...LIMITS,
      limits: [],
      leaving: [],
      loads: LOADS,
      evidence: EVIDENCE,
    };
    const frame = encodeFrame(message as FollowerMessage);
    expect(decodeFollowerFrame(frame)).to.deep.equal(message);
    expect(decodeUpstreamFrame(frame)).to.deep.equal(message);
  });

  // Guards against a daemon of the earlier build, whose frames lack the field, being cut off by a new one.
  it("may lack them, as those of the earlier build do", () => {
    const frame = new Packr({ useRecords: false }).pack(LIMITS);
    expect(decodeFollowerFrame(frame)).to.deep.equal(LIMITS);
    expect(decodeUpstreamFrame(frame)).to.deep.equal(LIMITS);
  });

  // Guards against a daemon of this build cutting off a later one for what it adds to a report.
  it("may hold fields that this build does not know", () => {
    const loads = [{
      runner: "g-1",
      running: 1,
      waiting: 0,
      ageMs: 9,
      later: 1,
    }];
    const frame = new Packr({ useRecords: false })
      .pack({ ...LIMITS, loads, later: 1 });
    const [{ later: _, ...known }] = loads as [typeof loads[0]];
    expect(decodeUpstreamFrame(frame)).to.deep.include({ loads: [known] });
  });
});
