import { expect } from "chai";
import {
  createDocument,
  createHarness,
  createRoute,
  effectsOf,
  failAttempt,
  publish,
  refusalOf,
  sendRequest,
} from "../gateway/test_fixture.ts";
import type { DaemonEntry } from "../read_sharing/types.ts";
import { allowedRegionsOf } from "./regions.ts";
import {
  createDesks,
  evacuate,
  REGIONS,
  ZONES,
  zonesSentTo,
} from "./test_zones.ts";

function createDaemon(node: string, zone: string): DaemonEntry {
  return {
    node,
    zone,
    address: `${node}:1`,
    incarnation: "1",
    cores: 1,
    forwardKey: `key of ${node}`,
  };
}

function startDaemon(
  { byRoute, byTeam, perZone = 3, seed = 1 }: {
    byRoute?: string[];
    byTeam?: string[];
    perZone?: number;
    seed?: number;
  },
) {
  const harness = createHarness({
    regions: REGIONS,
    self: createDaemon("entry-1", "suva-a"),
  }, { seed });
  const document = createDocument({
    routes: [createRoute({ allowedRegions: byRoute })],
    teams: [{
      name: "team-a",
      keys: ["key-a"],
      priority: undefined,
      allowedRegions: byTeam,
    }],
  });
  publish(harness, { runners: createDesks(perZone), document });
  return harness;
}

describe("regions that a request is restricted to", () => {
  it("are those that both its route and its team allow", () => {
    const route = { allowedRegions: ["a", "b"] };
    expect(allowedRegionsOf({}, undefined)).to.equal(undefined);
    expect(allowedRegionsOf(route, undefined)).to.deep.equal(["a", "b"]);
    expect(allowedRegionsOf({}, { allowedRegions: ["c"] })).to.deep.equal([
      "c",
    ]);
    expect(allowedRegionsOf(route, { allowedRegions: ["b", "c"] })).to.deep
      .equal(["b"]);
  });

  // Guards against a first attempt or a retry that leaves the allowed regions.
  for (const by of ["byRoute", "byTeam"] as const) {
    it(`hold for all attempts, set ${by}`, () => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const harness = startDaemon({ [by]: ["fiji-west"], seed });
        const effects = [
          ...sendRequest(harness, "r1"),
          ...failAttempt(harness, "r1", { outcome: "connect_refused" }),
        ];
        expect(zonesSentTo(harness, effects)).to.deep.equal([
          "nausori-b",
          "nausori-b",
        ]);
      }
    });
  }

  // Guards against a zone that counts as allowed since no region is known for it.
  it("do not contain a zone without a region", () => {
    const harness = startDaemon({ byRoute: ["fiji-east", "fiji-west"] });
    const zones = Array.from(
      { length: 40 },
      (_, index) => zonesSentTo(harness, sendRequest(harness, `r${index}`)),
    ).flat();
    expect(zones).to.have.length(40);
    expect(zones).not.to.include("labasa-c");
  });

  // Guards against a request that waits, or is refused as if the system were full.
  it("are named in the refusal where no runner is in one", () => {
    const refused = (options: Parameters<typeof startDaemon>[0]) =>
      refusalOf(sendRequest(startDaemon(options), "r1"))!;
    const elsewhere = refused({ byRoute: ["samoa"] });
    expect(elsewhere).to.include({ code: "no_capacity", verdict: "not_run" });
    expect(elsewhere.message).to.include("allowed region (samoa)");
    const none = refused({ byRoute: ["fiji-east"], byTeam: ["fiji-west"] });
    expect(none.message).to.include("none is allowed by both");
  });

  it("and evacuations hold together", () => {
    const harness = startDaemon({ byRoute: ["fiji-west"] });
    evacuate(harness, ["nausori-b"]);
    const refusal = refusalOf(sendRequest(harness, "r1"));
    expect(refusal!.message).to.include("evacuated availability zones");
  });

  // Guards against data of a restricted request that passes through a daemon elsewhere.
  it("hold for the daemons that forward a request", () => {
    const harness = startDaemon({ byRoute: ["fiji-west"], perZone: 4 });
    harness.feed({
      kind: "daemons_read",
      daemons: ZONES.map((zone) => createDaemon(`via-${zone}`, zone)),
      isWhole: true,
      isPassedOn: false,
    });
    const forwarders = new Set<string>();
    for (let index = 0; index < 10; index += 1) {
      const request = `r${index}`;
      const effects = sendRequest(harness, request);
      for (let attempt = 1; attempt <= 2; attempt += 1) {
        effects.push(...failAttempt(harness, request, {
          attempt,
          outcome: "connect_timeout",
        }));
      }
      for (const { forwarder } of effectsOf(effects, "send_to_runner")) {
        if (forwarder !== undefined) forwarders.add(forwarder.node);
      }
    }
    expect([...forwarders]).to.deep.equal(["via-nausori-b"]);
  });
});
