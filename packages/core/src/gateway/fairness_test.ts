import { expect } from "chai";
import { createRandom, nextFloat } from "../util/random.ts";
import {
  createDocument,
  createHarness,
  createHead,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "./test_fixture.ts";

const ROUNDS = 400;
const ROUND_MS = 100;
/** Requests that arrive in each round; one in ten is from the small team. */
const ARRIVALS = 10;
/** Streams that end in each round; fewer than arrive, so that more than half of the requests find no slot. */
const ENDS = 4;

function startTeams(): GatewayHarness {
  const harness = createHarness();
  const teams = ["large", "small"].map((name) => ({
    name,
    keys: [`key-${name}`],
    priority: undefined,
  }));
  publish(harness, {
    runners: [createHead("head-0")],
    document: createDocument({ teams }),
  });
  return harness;
}

function endOldest(harness: GatewayHarness, running: string[]): void {
  for (const request of running.splice(0, ENDS)) {
    harness.feed({
      kind: "response_ended",
      request,
      attempt: 1,
      status: 200,
      verdict: "ran",
      isRelayable: true,
    });
  }
}

/** Returns the share of each team's requests that are sent to a runner while slots are scarce. */
function servedShares(): Record<string, number> {
  const harness = startTeams();
  const random = createRandom(20_261_204);
  const offered: Record<string, number> = { large: 0, small: 0 };
  const sent: Record<string, number> = { large: 0, small: 0 };
  const running: string[] = [];
  let seen = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    for (let index = 0; index < ARRIVALS; index += 1) {
      const team = nextFloat(random) < 0.1 ? "small" : "large";
      offered[team]! += 1;
      sendRequest(harness, `${team}-${round}-${index}`, {
        path: "/chat/1",
        model: "small",
        key: `key-${team}`,
        deadlineMs: 8_000,
      });
    }
    harness.advance(ROUND_MS);
    const confirmedAt = harness.state.now;
    harness.feed({
      kind: "freshness_confirmed",
      topic: "routing",
      confirmedAt,
    });
    endOldest(harness, running);
    const sends = effectsOf(harness.effects.slice(seen), "send_to_runner");
    seen = harness.effects.length;
    for (const { request } of sends) {
      sent[request.split("-")[0]!]! += 1;
      running.push(request);
    }
  }
  return {
    large: sent.large! / offered.large!,
    small: sent.small! / offered.small!,
  };
}

describe("two teams while slots are scarce", () => {
  it("get the same share of their requests served, even where one team sends few", () => {
    const { large, small } = servedShares();
    expect(large).to.be.within(0.1, 0.9);
    expect(small / large).to.be.within(0.5, 2);
  });
});
