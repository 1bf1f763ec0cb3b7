import { expect } from "chai";
import { checkConfig } from "./config_check.ts";
import { createDocument, hashOf, type TestBase } from "./test_documents.ts";

type Change = (base: TestBase) => void;

function rulesOf(change: Change): string[] {
  return checkConfig(createDocument(change), { domainSizes: [8, 8] }).findings
    .map(({ rule, path }) => `${rule} ${path}`);
}

describe("check of the fleet's configuration", () => {
  it("finds nothing in a sound document, so that the rules below stand for themselves", () => {
    expect(rulesOf(() => undefined)).to.deep.equal([]);
  });

  const ROWS: { name: string; change: Change; expected: string[] }[] = [
    {
      name: "an owner without teams",
      change: ({ owners }) => owners.tavua = { share: 1, teams: {} },
      expected: ["owner_without_teams owners.tavua.teams"],
    },
    {
      name: "a team without callers",
      change: ({ owners }) => owners.abay!.teams.shop = { callers: {} },
      expected: ["team_without_keys owners.abay.teams.shop.callers"],
    },
    {
      name: "callers of a team that does not exist",
      change: ({ deployments }) =>
        deployments.lending!.callers = ["abay/desk", "abay/dusk"],
      expected: ["unmatched_callers deployments.lending.callers.1"],
    },
    {
      name: "a wildcard that one before it covers",
      change: ({ deployments }) =>
        deployments.assistant!.callers = ["abay", "abay/*/app"],
      expected: ["covered_callers deployments.assistant.callers.1"],
    },
    {
      name: "an entry that a later wildcard covers",
      change: ({ deployments }) =>
        deployments.assistant!.callers = ["abay/desk", "abay/*"],
      expected: ["covered_callers deployments.assistant.callers.0"],
    },
    {
      name: "the second of two equal entries only",
      change: ({ deployments }) =>
        deployments.assistant!.callers = ["abay", "abay/*"],
      expected: ["covered_callers deployments.assistant.callers.1"],
    },
    {
      name: "a caller that no deployment serves",
      change: ({ deployments }) =>
        deployments.assistant!.callers = ["abay/desk"],
      expected: [
        "caller_without_deployment owners.abay.teams.night.callers.app",
      ],
    },
    {
      name: "a site without an overlay",
      change: ({ deployments }) => deployments.lending!.sites = ["bole"],
      expected: ["unknown_site deployments.lending.sites.0"],
    },
    {
      name: "a rank that is listed twice",
      change: ({ deployments }) =>
        deployments.lending!.ranks = ["urgent", "urgent"],
      expected: ["repeated_entry deployments.lending.ranks.1"],
    },
    {
      name: "a floor of a rank that no deployment serves",
      change: ({ deployments }) => {
        deployments.assistant!.ranks = ["urgent", "standard"];
        deployments.lending!.ranks = ["urgent"];
      },
      expected: ["unserved_rank ranks.batch.floor"],
    },
    {
      name: "a deadline that equals the first-token target",
      change: ({ ranks }) =>
        ranks.batch = {
          firstTokenMs: 50_000,
          deadlineMs: 50_000,
          queueWaitMs: 50_000,
        },
      expected: ["deadline_below_first_token ranks.batch.deadlineMs"],
    },
    {
      name: "a queue wait above the deadline",
      change: ({ ranks }) => ranks.urgent = { queueWaitMs: 60_001 },
      expected: ["queue_wait_above_deadline ranks.urgent.queueWaitMs"],
    },
    {
      name: "floors that sum to 1, which daemons accept",
      change: ({ ranks }) => ranks.urgent = { floor: 0.85 },
      expected: ["floors_take_all ranks"],
    },
    {
      name: "a response timeout above the deadline of a rank",
      change: ({ deployments }) =>
        deployments.lending!.responseTimeoutMs = 60_001,
      expected: [
        "response_timeout_above_deadline deployments.lending.responseTimeoutMs",
      ],
    },
    {
      name: "a replica that no fabric domain has room for",
      change: ({ deployments }) => deployments.assistant!.vmsPerReplica = 9,
      expected: ["replica_too_large deployments.assistant.vmsPerReplica"],
    },
    {
      name: "more replicas than the fabric domains have room for",
      change: ({ deployments }) => deployments.assistant!.replicas = 5,
      expected: ["too_many_replicas deployments.assistant.replicas"],
    },
    {
      name: "a team's limit above its owner's",
      change: ({ owners }) => {
        owners.abay!.limit = { requestsPerMinute: 10 };
        owners.abay!.teams.desk!.limit = { requestsPerMinute: 11 };
      },
      expected: [
        "limit_above_outer_limit owners.abay.teams.desk.limit.requestsPerMinute",
      ],
    },
    {
      name: "a token limit below the largest request of a served model",
      change: ({ owners }) =>
        owners.abay!.teams.desk!.limit = { tokensPerMinute: 36_863 },
      expected: [
        "token_limit_below_request owners.abay.teams.desk.limit.tokensPerMinute",
      ],
    },
    {
      name: "a weight of 0, which daemons refuse",
      change: ({ owners }) => owners.abay!.teams.desk!.weight = 0,
      expected: ["refused owners.abay.teams.desk.weight"],
    },
  ];
  for (const { name, change, expected } of ROWS) {
    it(`reports ${name}`, () => {
      expect(rulesOf(change)).to.deep.equal(expected);
    });
  }

  it("says nothing of placement where the VMs are not known", () => {
    const document = createDocument(({ deployments }) =>
      deployments.assistant!.vmsPerReplica = 900
    );
    expect(checkConfig(document).findings).to.deep.equal([]);
  });

  it("reports what holds for the base and all sites once, and what holds at one site with its name", () => {
    const document = createDocument(
      ({ owners }) => owners.tavua = { share: 1, teams: {} },
      { bole: { ranks: { urgent: { queueWaitMs: 90_000 } } }, kality: {} },
    );
    const findings = checkConfig(document).findings
      .map(({ rule, file }) => `${file}: ${rule}`);
    expect(findings).to.deep.equal([
      "base: owner_without_teams",
      "bole: queue_wait_above_deadline",
    ]);
  });

  it("gives the file and line of a field, and of the nearest one where the field is a default", () => {
    const base = {
      file: "base.jsonc",
      text: JSON.stringify(createDocument().base, null, 1),
    };
    const overlay = {
      file: "bole.jsonc",
      text: '{\n "ranks": {\n  "urgent": { "floor": 0.95 } } }',
    };
    const { findings } = checkConfig(
      {
        base: JSON.parse(base.text),
        overlays: { bole: JSON.parse(overlay.text) },
      },
      { sources: { base, overlays: { bole: overlay } } },
    );
    expect(findings.map(({ severity, file, line }) => ({
      severity,
      file,
      line,
    }))).to.deep.equal([{ severity: "error", file: "bole.jsonc", line: 2 }]);
  });
});

describe("comparison with the configuration in force", () => {
  const inForce = createDocument();

  function changesOf(change: Change, overlays = {}) {
    return checkConfig(createDocument(change, overlays), { inForce }).changes;
  }

  it("lists nothing where only defaults are written out", () => {
    const changes = changesOf(({ ranks }) => ranks.urgent = { floor: 0 });
    expect(changes).to.deep.equal([]);
  });

  it("lists added, removed and changed parts with what they do to requests in flight", () => {
    const changes = changesOf(({ owners, deployments, ranks }) => {
      delete owners.abay!.teams.night;
      owners.abay!.teams.shop = { callers: {} };
      deployments.assistant!.replicas = 3;
      ranks.batch = { floor: 0.2 };
    });
    expect(changes.map(({ kind, part }) => `${kind} ${part}`)).to.deep.equal([
      "removed team abay/night",
      "removed caller abay/night/app",
      "changed deployment assistant (model)",
      "changed rank batch",
      "added team abay/shop",
    ]);
    const [deployment] = changes.filter(({ part }) =>
      part.startsWith("deployment")
    );
    expect(deployment!.fields).to.deep.equal([{
      field: "replicas",
      from: 2,
      to: 3,
    }]);
    expect(deployment!.inFlight).to.include("end where they run");
  });

  it("lists a deployment whose kind changes as removed and added, since its targets are removed", () => {
    const changes = changesOf(({ deployments }) => {
      deployments.lending = {
        kind: "model",
        callers: ["abay"],
        replicas: 1,
        vmsPerReplica: 1,
      };
    });
    expect(changes.map(({ kind, part }) => `${kind} ${part}`)).to.deep.equal([
      "removed deployment lending (service)",
      "added deployment lending (model)",
    ]);
  });

  it("never shows the hash of a key", () => {
    const changes = changesOf(({ owners }) =>
      owners.abay!.teams.desk!.callers = { app: { keySha256: hashOf("c") } }
    );
    expect(changes.map(({ part }) => part)).to.deep.equal([
      "caller abay/desk/app",
    ]);
    expect(JSON.stringify(changes)).to.not.include(hashOf("c")).and.not.include(
      hashOf("a"),
    );
  });

  it("lists a change of one site only there, and one of the base only once", () => {
    const changes = changesOf(({ deployments }) => {
      deployments.assistant!.replicas = 3;
    }, { bole: { policy: { stallMs: 900 } }, kality: {} });
    expect(changes.map(({ part, site }) => `${part} at ${site ?? "base"}`)).to
      .deep.equal(["deployment assistant (model) at base", "policy at bole"]);
  });
});
