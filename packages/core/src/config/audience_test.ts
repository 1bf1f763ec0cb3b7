import { expect } from "chai";
import { refusalReason } from "./audience.ts";
import type { Deployment, Principal, Rank } from "./types.ts";

const DEPLOYMENT = {
  kind: "service",
  callers: ["tavua/clinic", "abay/*/desk"],
  ranks: ["urgent", "standard"],
  sites: ["suva-a"],
} as unknown as Deployment;

function principal(owner: string, team: string, caller: string): Principal {
  return { owner, team, caller };
}

describe("refusalReason", () => {
  const ROWS: {
    name: string;
    who: Principal;
    rank?: Rank;
    site?: string;
    reason: string | undefined;
  }[] = [
    {
      name: "a declared team",
      who: principal("tavua", "clinic", "app"),
      reason: undefined,
    },
    {
      name: "a caller matched by a wildcard",
      who: principal("abay", "night", "desk"),
      reason: undefined,
    },
    {
      name: "another team",
      who: principal("tavua", "shop", "app"),
      reason: "this caller",
    },
    {
      name: "another caller",
      who: principal("abay", "night", "app"),
      reason: "this caller",
    },
    {
      name: "another rank",
      who: principal("tavua", "clinic", "app"),
      rank: "batch",
      reason: 'rank "batch"',
    },
    {
      name: "another site",
      who: principal("tavua", "clinic", "app"),
      site: "bole",
      reason: 'site "bole"',
    },
  ];
  for (const { name, who, rank = "urgent", site = "suva-a", reason } of ROWS) {
    it(`${reason ? "refuses" : "serves"} ${name}`, () => {
      expect(refusalReason(DEPLOYMENT, { principal: who, rank, site })).to
        .equal(reason);
    });
  }
});
