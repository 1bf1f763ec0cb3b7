import { expect } from "chai";
import { createHead, effectsOf, sendRequest } from "../gateway/test_fixture.ts";
import { runnerStatsOf } from "../gateway/runner_stats.ts";
import { createFleet, type SimulatedFleet } from "./test_fleet.ts";

const HEADS = 12;

function startFleet(daemons: number): SimulatedFleet {
  const fleet = createFleet({ a: daemons });
  fleet.store.runners = Array.from(
    { length: HEADS },
    (_, index) => createHead(`head-${index}`),
  );
  fleet.store.position.offset = 2;
  fleet.advance(3_000);
  return fleet;
}

/** Sends four requests from each daemon in turn; returns how many went to the dead runner, where each fails. */
function countLostRequests(fleet: SimulatedFleet, dead: string): number {
  let lost = 0;
  for (const { harness, entry: { node } } of fleet.daemons) {
    for (let index = 0; index < 4; index += 1) {
      const request = `${node}-${index}`;
      const [send] = effectsOf(
        sendRequest(harness, request, { path: "/chat/1", model: "small" }),
        "send_to_runner",
      );
      if (send?.runner !== dead) continue;
      lost += 1;
      harness.feed({
        kind: "response_failed",
        request,
        attempt: send.attempt,
        outcome: "connect_timeout",
      });
    }
    fleet.advance(100);
  }
  return lost;
}

/** Returns the runner that the first daemon of a fleet sends a request to; all daemons draw the same numbers. */
function firstChoice(): string {
  const [daemon] = startFleet(1).daemons;
  const options = { path: "/chat/1", model: "small" };
  const effects = sendRequest(daemon!.harness, "first", options);
  return effectsOf(effects, "send_to_runner")[0]!.runner;
}

describe("a dead runner before many daemons", () => {
  it("costs a few requests, not one of each daemon", () => {
    const lost = countLostRequests(startFleet(40), firstChoice());
    expect(lost).to.be.within(1, 8);
  });

  it("is not avoided by a daemon that hears from it", () => {
    const { daemons: [daemon] } = startFleet(1);
    const { gateway, now } = daemon!.harness.state;
    runnerStatsOf(gateway!, "head-1").lastSeenAt = now;
    daemon!.harness.feed({
      kind: "suspects_reported",
      runners: ["head-1", "head-2"],
    });
    const avoidUntil = (id: string) => runnerStatsOf(gateway!, id).avoidUntil;
    expect(avoidUntil("head-1")).to.be.below(now);
    expect(avoidUntil("head-2")).to.be.above(now);
  });

  it("leaves most runners in use where a daemon reports all of them, whose own network fails", () => {
    const { daemons: [daemon] } = startFleet(1);
    const { gateway, now } = daemon!.harness.state;
    const runners = Array.from({ length: HEADS }, (_, id) => `head-${id}`);
    daemon!.harness.feed({ kind: "suspects_reported", runners });
    const avoided = [...gateway!.runnerStats.values()].filter((stats) =>
      stats.avoidUntil > now
    );
    expect(avoided).to.have.length(HEADS / 4);
  });
});
