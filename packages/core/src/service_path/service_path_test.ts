import { expect } from "chai";
import {
  createHarness,
  createRunner,
  failAttempt,
  type GatewayHarness,
  publish,
  sendRequest,
} from "../gateway/test_fixture.ts";
import { isPathLost } from "./mod.ts";

const IDS = ["desk-0", "desk-1", "desk-2"];

function startDesk(ids = IDS): GatewayHarness {
  const harness = createHarness({}, { canConnect: false });
  const runners = ids.map((id) => createRunner(id, { address: `${id}:80` }));
  publish(harness, { runners });
  return harness;
}

function isLost({ state }: GatewayHarness): boolean {
  return isPathLost(state.gateway!, "desk");
}

describe("the path to a service", () => {
  it("is lost where several runners in a row cannot be connected to", () => {
    const harness = startDesk();
    sendRequest(harness, "r1");
    failAttempt(harness, "r1", { outcome: "connect_timeout" });
    expect(isLost(harness)).to.equal(false);
    failAttempt(harness, "r1", { attempt: 2, outcome: "connect_timeout" });
    expect(isLost(harness)).to.equal(true);
  });

  it("holds where one runner falls silent and another one is reached", () => {
    const harness = startDesk();
    for (const [index, id] of ["r1", "r2", "r3", "r4"].entries()) {
      harness.advance(600);
      sendRequest(harness, id);
      failAttempt(harness, id, { outcome: "connect_timeout" });
      const address = `${IDS[index % 2]}:80`;
      harness.feed({ kind: "runner_connected", address });
      expect(isLost(harness)).to.equal(false);
    }
  });

  // Guards against streams that a cut resets and that are sent once more over another connection that it resets too.
  it("is lost where connections to several runners break off at the same moment", () => {
    const harness = startDesk();
    for (const id of ["r1", "r2", "r3"]) {
      sendRequest(harness, id);
      harness.feed({ kind: "attempt_sent", request: id, attempt: 1 });
    }
    const runners = new Set<string>();
    for (const id of ["r1", "r2", "r3"]) {
      const { requests } = harness.state.gateway!;
      runners.add(requests.get(id)!.currentAttempt!.runner);
      failAttempt(harness, id, { outcome: "reset_after_send" });
      expect(isLost(harness)).to.equal(runners.size > 1);
    }
  });

  it("holds where they break off seconds apart", () => {
    const harness = startDesk();
    for (const id of ["r1", "r2", "r3"]) {
      harness.advance(3_000);
      sendRequest(harness, id);
      failAttempt(harness, id, { outcome: "reset_after_send" });
      expect(isLost(harness)).to.equal(false);
    }
  });

  it("keeps no evidence of failures that nothing followed", () => {
    const harness = startDesk();
    sendRequest(harness, "r1");
    failAttempt(harness, "r1", { outcome: "connect_timeout" });
    harness.feed({ kind: "routed_request_closed", request: "r1" });
    harness.advance(3_000);
    expect(harness.state.gateway!.servicePaths.size).to.equal(0);
  });

  it("is lost with its only runner", () => {
    const harness = startDesk(["desk-0"]);
    sendRequest(harness, "r1");
    failAttempt(harness, "r1", { outcome: "connect_refused" });
    expect(isLost(harness)).to.equal(true);
  });

  it("is regained with the first connection, and both are logged", () => {
    const harness = startDesk();
    sendRequest(harness, "r1");
    failAttempt(harness, "r1", { outcome: "connect_timeout" });
    failAttempt(harness, "r1", { attempt: 2, outcome: "connect_timeout" });
    harness.feed({ kind: "runner_connected", address: "desk-2:80" });
    expect(isLost(harness)).to.equal(false);
    const logged = harness.effects.flatMap((effect) =>
      effect.kind === "log" && effect.event.startsWith("path_")
        ? effect.event
        : []
    );
    expect(logged).to.deep.equal(["path_lost", "path_regained"]);
  });
});
