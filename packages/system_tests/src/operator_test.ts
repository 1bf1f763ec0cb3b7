import { type System, waitUntil } from "@primroseshed/stand_ins";
import type { Daemon } from "@primroseshed/daemon";
import { expect } from "chai";
import { chat } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

const OPERATOR_HEADERS = { authorization: "Bearer demo-operator-key" };

function fetchOperatorPath(
  daemon: Daemon,
  path: string,
  init: RequestInit = { headers: OPERATOR_HEADERS },
): Promise<Response> {
  return fetch(`${daemon.addresses.operators}${path}`, init);
}

describe("operators' listener", () => {
  let system: System;
  before(async () => {
    system = await startTestSystem({ enginesPerZone: 2, replicas: 3 });
    await waitUntil(() =>
      system.daemons.every(({ state }) => state.peers.size === 1)
    );
  });
  after(() => system.kill());

  it("serves only health and readiness without a key", async () => {
    const statuses = await Promise.all(
      [
        "/healthz",
        "/readyz",
        "/metrics",
        "/state",
        "/status",
        "/groups",
        "/config",
      ].map(async (path) =>
        (await fetchOperatorPath(system.daemons[0]!, path, {})).status
      ),
    );
    expect(statuses).to.deep.equal([200, 200, 401, 401, 401, 401, 401]);
  });

  it("counts requests by owner, rank and verdict, and measures token latency", async () => {
    await chat(system.daemons[0]!, "hello", {
      headers: { "primrose-rank": "urgent" },
    });
    const text = await (await fetchOperatorPath(system.daemons[0]!, "/metrics"))
      .text();
    expect(text).to.match(
      /primrose_requests_total\{owner="tavua",rank="urgent",verdict="ran",code="ok"\} 1/,
    );
    expect(text).to.match(
      /primrose_first_token_seconds_count\{owner="tavua",rank="urgent"\} 1/,
    );
    expect(text).to.match(/primrose_between_tokens_seconds_bucket/);
    expect(text).to.match(
      /primrose_queue_depth\{deployment="assistant",rank="batch"\} 0/,
    );
    expect(text).to.match(
      /primrose_targets\{deployment="assistant",phase="serving"\} 3/,
    );
  });

  it("rejects an invalid drain request", async () => {
    const bodies = [
      "{",
      '{"what":"zone","name":"x"}',
      '{"what":"node","name":"entry-9"}',
    ];
    for (const body of bodies) {
      const response = await fetchOperatorPath(system.daemons[0]!, "/drain", {
        method: "POST",
        headers: OPERATOR_HEADERS,
        body,
      });
      expect(response.status).to.equal(400);
    }
    expect(system.daemons[0]!.state.phase).to.equal("serving");
  });

  it("drains a VM at every daemon, also where only a peer reported the drain", async () => {
    const [receiver, peer] = system.daemons;
    const target = [...peer!.state.targets.values()].find(({ epoch }) =>
      epoch !== undefined
    )!;
    const name = target.members[0]!.member.vm;
    const body = JSON.stringify({ what: "vm", name });
    const response = await fetchOperatorPath(receiver!, "/drain", {
      method: "POST",
      headers: OPERATOR_HEADERS,
      body,
    });
    expect(response.status).to.equal(202);
    await waitUntil(() =>
      target.phase === "draining" || target.phase === "gone"
    );
    // The planner may drain the group through the log before the peer's next digest arrives, so the test waits for
    // both.
    await waitUntil(() => peer!.state.leaving.has(name));
    expect(peer!.state.leaving.get(name)).to.equal(
      receiver!.state.leaving.get(name),
    );
  });
});
