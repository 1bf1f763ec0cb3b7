import { expect } from "chai";
import {
  createHead,
  effectsOf,
  type GatewayHarness,
  sendRequest,
} from "../gateway/test_fixture.ts";
import { createFleet, type SimulatedFleet } from "./test_fleet.ts";

const HEAD = "head-0";
const DAEMONS = 12;

function startFleet(): SimulatedFleet {
  const fleet = createFleet({ a: DAEMONS });
  fleet.store.runners = [createHead(HEAD)];
  fleet.store.position.offset = 2;
  fleet.advance(3_000);
  return fleet;
}

/** Sends a request of a daemon to the only runner, whose response names a limit or none. */
function hear(
  harness: GatewayHarness,
  { request, requestsPerSecond }: {
    request: string;
    requestsPerSecond: number | undefined;
  },
): void {
  const [send] = effectsOf(
    sendRequest(harness, request, { path: "/chat/1", model: "small" }),
    "send_to_runner",
  );
  const at = { request, attempt: send!.attempt };
  harness.feed({
    kind: "response_started",
    ...at,
    status: 200,
    verdict: "ran",
    load: undefined,
    requestsPerSecond,
  });
  harness.feed({
    kind: "response_ended",
    ...at,
    status: 200,
    verdict: "ran",
    isRelayable: false,
  });
}

const limitsOf = ({ daemons }: SimulatedFleet) =>
  daemons.map(({ harness }) =>
    harness.state.gateway!.runnerStats.get(HEAD)?.requestsPerSecond
  );
const all = (limit: number | undefined) =>
  Array.from({ length: DAEMONS }, () => limit);

describe("limits that runners name", () => {
  // Guards against daemons of a large fleet that hold back their requests for minutes after a limit has ended.
  it("are known to all daemons of the zone soon, and so is their end", () => {
    const fleet = startFleet();
    const follower = fleet.daemons.find(({ upstream }) =>
      upstream !== undefined
    )!;
    hear(follower.harness, { request: "r1", requestsPerSecond: 2 });
    fleet.advance(1_000);
    expect(limitsOf(fleet)).to.deep.equal(all(2));
    const [reader] = fleet.readers();
    fleet.advance(15_000);
    hear(reader!.harness, { request: "r2", requestsPerSecond: undefined });
    fleet.advance(1_000);
    expect(limitsOf(fleet)).to.deep.equal(all(undefined));
  });
});
