import { expect } from "chai";
import type { RoutingDocument } from "../gateway/fleet_types.ts";
import {
  createDocument,
  createHarness,
  createRoute,
  createRunner,
  effectsOf,
  ENGINE,
  publish,
  sendRequest,
} from "../gateway/test_fixture.ts";
import { fullRateOf } from "./cold_start_rules.ts";
import { checkRouting, type RoutingContext } from "./routing_check.ts";

const CONTEXT: RoutingContext = {
  inForce: undefined,
  regions: { "suva-a": "fiji" },
  isHedging: false,
};
const DESK = { service: "desk", weight: 1 };
const SPEED = {
  stepMs: 10,
  stepMsPerRequest: 0,
  stepMsPerContextKiloToken: 0,
  stepsPerPass: 1,
  prefillTokensPerSecond: 1_000,
  prefillChunkTokens: 512,
  usual: { promptTokens: 1_000, outputTokens: 100 },
};

/** Document with one sound route. */
function createSoundDocument(
  changes: Partial<RoutingDocument> = {},
): RoutingDocument {
  return createDocument({ routes: [createRoute()], ...changes });
}

function rulesOf(
  document: RoutingDocument,
  context: Partial<RoutingContext> = {},
): string[] {
  return checkRouting(document, { ...CONTEXT, ...context }).findings.map((
    { severity, rule, path },
  ) => `${severity} ${rule} ${path}`);
}

describe("check of a routing configuration", () => {
  it("finds nothing in a sound one, so that the rules below stand for themselves", () => {
    expect(rulesOf(createSoundDocument())).to.deep.equal([]);
  });

  const ROWS: {
    name: string;
    document: Partial<RoutingDocument>;
    context?: Partial<RoutingContext>;
    expected: string[];
  }[] = [
    {
      name: "a route with the host and prefix of one before it",
      document: {
        routes: [
          createRoute(),
          createRoute({ name: "shadow" }),
          createRoute({ name: "other", host: "b.example" }),
        ],
      },
      expected: ["error shadowed_route routes.shadow"],
    },
    {
      name: "a route to a service that does not exist",
      document: {
        routes: [
          createRoute({ backends: [DESK, { service: "dusk", weight: 1 }] }),
        ],
      },
      expected: ["error unknown_service routes.loans.backends"],
    },
    {
      name: "a route without a service",
      document: { routes: [createRoute({ backends: [] })] },
      expected: ["error route_without_service routes.loans.backends"],
    },
    {
      name: "a route whose weights are all 0",
      document: {
        routes: [
          createRoute({
            backends: [{ service: "llm", weight: 0 }, { ...DESK, weight: 0 }],
          }),
        ],
      },
      expected: ["warning no_weight routes.loans.backends"],
    },
    {
      name: "not a weight of 0 beside another",
      document: {
        routes: [
          createRoute({ backends: [DESK, { service: "llm", weight: 0 }] }),
        ],
      },
      expected: [],
    },
    {
      name: "a team without keys",
      document: {
        teams: [{ name: "team-b", keys: [], priority: undefined }],
      },
      expected: ["error team_without_keys teams.team-b.keys"],
    },
    {
      name: "keys held by two teams, once for each pair of teams",
      document: {
        teams: [
          { name: "team-a", keys: ["k1", "k2", "k1"], priority: undefined },
          { name: "team-b", keys: ["k1", "k2", "k3"], priority: undefined },
        ],
      },
      expected: ["error shared_key teams.team-b.keys"],
    },
    {
      name: "a route whose only region has no known zone",
      document: { routes: [createRoute({ allowedRegions: ["tonga"] })] },
      expected: ["error unknown_region routes.loans.allowedRegions"],
    },
    {
      name: "a team one of whose regions has no known zone",
      document: {
        teams: [{
          name: "team-a",
          keys: ["k"],
          priority: undefined,
          allowedRegions: ["fiji", "tonga"],
        }],
      },
      expected: ["warning unknown_region teams.team-a.allowedRegions"],
    },
    {
      name: "a time limit below the latency objective",
      document: {
        routes: [createRoute({ timeoutMs: 299, targetLatencyMs: 300 })],
      },
      expected: ["warning timeout_below_objective routes.loans.timeoutMs"],
    },
    {
      name: "several attempts on routes that may not be repeated",
      document: {
        routes: [
          createRoute({ kind: "non_idempotent" }),
          createRoute({ name: "chat", prefix: "/chat/", kind: "stream" }),
          createRoute({
            name: "book",
            prefix: "/book/",
            kind: "non_idempotent",
            maxAttempts: 1,
          }),
        ],
      },
      expected: [
        "warning attempts_without_repeat routes.loans.maxAttempts",
        "warning attempts_without_repeat routes.chat.maxAttempts",
      ],
    },
    {
      name: "hedged requests where no route may be repeated",
      document: {
        routes: [createRoute({ kind: "non_idempotent", maxAttempts: 1 })],
      },
      context: { isHedging: true },
      expected: ["warning hedging_without_repeat routes"],
    },
    {
      name: "a version that would be ignored",
      document: { version: 7 },
      context: { inForce: createSoundDocument({ version: 7 }) },
      expected: ["error old_version version"],
    },
  ];
  for (const { name, document, context, expected } of ROWS) {
    it(`reports ${name}`, () => {
      expect(rulesOf(createSoundDocument(document), context)).to.deep.equal(
        expected,
      );
    });
  }

  it("compares the cold limit with the rate of the fastest model at full load", () => {
    const models = [{ ...ENGINE.models[0]!, pace: 0.5 }, ENGINE.models[0]!];
    const engine = { ...ENGINE, slots: 10, models, speed: SPEED };
    // A usual request holds a slot for (1,000 + 100 x 10) x 0.5 ms.
    expect(fullRateOf(engine)).to.equal(10);
    const rulesAt = (requestsPerSecond: number) =>
      rulesOf(createSoundDocument({
        services: [
          { name: "desk", engine: undefined },
          {
            name: "llm",
            engine,
            coldStart: { durationMs: 3_000, requestsPerSecond },
          },
        ],
      }));
    expect(rulesAt(10)).to.deep.equal([]);
    expect(rulesAt(10.1)).to.deep.equal([
      "warning cold_limit_above_engine services.llm.coldStart",
    ]);
  });

  it("never shows a key, neither in findings nor in changes", () => {
    const teams = ["team-a", "team-b"].map((name) => ({
      name,
      keys: ["secret-1"],
      priority: undefined,
    }));
    const report = checkRouting(createSoundDocument({ teams, version: 2 }), {
      ...CONTEXT,
      inForce: createSoundDocument(),
    });
    expect(report.findings).to.have.length(1);
    expect(report.changes.map(({ kind, part }) => `${kind} ${part}`)).to.deep
      .equal(["changed team team-a", "added team team-b"]);
    expect(JSON.stringify(report)).to.not.include("secret-1").and.not.include(
      "key-a",
    );
  });
});

describe("a routing configuration with findings that comes into force", () => {
  const document = createDocument({
    routes: [
      createRoute(),
      ...[1, 2, 3, 4].map((number) => createRoute({ name: `s${number}` })),
    ],
  });

  function findingsLogged(
    harness: ReturnType<typeof createHarness>,
  ): Record<string, unknown>[] {
    return effectsOf(harness.effects, "log")
      .filter(({ event }) => event === "config_findings")
      .map(({ fields }) => fields);
  }

  it("is logged once with the counts and the first findings, and serves", () => {
    const harness = createHarness();
    publish(harness, { runners: [createRunner("desk-0")], document });
    publish(harness, { runners: [createRunner("desk-0")], document });
    const [fields, ...others] = findingsLogged(harness);
    expect(others).to.deep.equal([]);
    expect(fields).to.include({ version: 1, errors: 4, warnings: 0 });
    expect(fields!.changes).to.equal(undefined);
    expect(fields!.first).to.include("routes.s3").and.not.include("routes.s4");
    expect(effectsOf(sendRequest(harness, "r1"), "send_to_runner")).to.have
      .length(1);
  });

  it("logs one short line under 5,000 shadowed routes and 20,000 shared keys, since log lines must stay bounded", () => {
    const names = (count: number, prefix: string) =>
      Array.from({ length: count }, (_, index) => `${prefix}${index}`);
    const harness = createHarness();
    publish(harness, {
      document: createDocument({
        routes: names(5_000, "r").map((name) => createRoute({ name })),
        teams: [
          ...names(2, "t").map((name) => ({
            name,
            keys: names(20_000, "k"),
            priority: undefined,
          })),
        ],
      }),
    });
    const [fields, ...others] = findingsLogged(harness);
    expect(others).to.deep.equal([]);
    expect(fields).to.include({ errors: 5_000, warnings: 0 });
    expect(JSON.stringify(fields).length).to.be.below(1_000);
  });

  it("is logged with the number of changes from the version before", () => {
    const harness = createHarness();
    publish(harness, { document });
    publish(harness, {
      document: { ...document, version: 2, routes: document.routes.slice(1) },
    });
    const [, fields] = findingsLogged(harness);
    expect(fields).to.include({ version: 2, errors: 3, changes: 1 });
  });

  it("is not logged where there are none", () => {
    const harness = createHarness();
    publish(harness, {
      document: createDocument({ routes: [createRoute()] }),
    });
    expect(findingsLogged(harness)).to.deep.equal([]);
  });
});
