import { expect } from "chai";
import type { Effect } from "../effect/types.ts";
import type { EventBody } from "../event/types.ts";
import {
  createDocument,
  createHarness,
  createHead,
  createRoute,
  createRunner,
  effectsOf,
  failAttempt,
  type GatewayHarness,
  publish,
  refusalOf,
  sendRequest,
} from "../gateway/test_fixture.ts";
import { isGatewayReady } from "../gateway/gateway.ts";
import type { Runner } from "../gateway/types.ts";
import type { DaemonEntry } from "../read_sharing/types.ts";
import { isPathLost } from "../service_path/mod.ts";
import type { ForwardRefusal } from "./types.ts";

function createDaemon(node: string, zone = "suva-a"): DaemonEntry {
  return {
    node,
    zone,
    address: `${node}:1`,
    incarnation: "1",
    cores: 1,
    forwardKey: `key of ${node}`,
  };
}

const SELF = createDaemon("entry-1");
const NEIGHBOR = createDaemon("entry-2");
const REMOTE = createDaemon("entry-3", "nausori-b");
const DESKS = ["desk-0", "desk-1", "desk-2"].map((id) =>
  createRunner(id, { address: `${id}:80` })
);
const HEADS = ["head-0", "head-1", "head-2", "head-3"].map((id) =>
  createHead(id, { address: `${id}:80` })
);
const ROUTES = [
  createRoute(),
  createRoute({ name: "book", prefix: "/book/", kind: "non_idempotent" }),
];

function startDaemon(
  { daemons = [NEIGHBOR, REMOTE], runners = DESKS }: {
    daemons?: DaemonEntry[];
    runners?: Runner[];
  } = {},
): GatewayHarness {
  const harness = createHarness({ self: SELF });
  publish(harness, { runners });
  harness.feed({
    kind: "daemons_read",
    daemons,
    isWhole: true,
    isPassedOn: false,
  });
  return harness;
}

/** Lets connections to the first two runners that a request tries fail. */
function losePath(harness: GatewayHarness, request = "lost"): Effect[] {
  const effects = sendRequest(harness, request);
  for (const attempt of [1, 2]) {
    effects.push(...failAttempt(harness, request, {
      attempt,
      outcome: "connect_timeout",
    }));
  }
  return effects;
}

function failForwarded(
  harness: GatewayHarness,
  request: string,
  failure: Omit<
    Extract<EventBody, { kind: "response_failed" }>,
    "kind" | "request"
  >,
): Effect[] {
  return harness.feed({ kind: "response_failed", request, ...failure });
}

function forwardersOf(effects: readonly Effect[]): (string | undefined)[] {
  return effectsOf(effects, "send_to_runner").map(({ forwarder }) =>
    forwarder?.node
  );
}

function respond(harness: GatewayHarness, request: string, attempt: number) {
  const at = { request, attempt };
  harness.feed({
    kind: "response_started",
    ...at,
    status: 200,
    verdict: "ran",
    load: undefined,
  });
  return harness.feed({
    kind: "response_ended",
    ...at,
    status: 200,
    verdict: "ran",
    isRelayable: false,
  });
}

describe("requests of a daemon that has lost its path to a service", () => {
  it("go through a daemon of the same zone, with all that they came with", () => {
    const harness = startDaemon();
    const lost = losePath(harness);
    expect(forwardersOf(lost)).to.deep.equal([undefined, undefined, "entry-2"]);
    const [send] = effectsOf(
      sendRequest(harness, "r1", { deadlineMs: 500 }),
      "send_to_runner",
    );
    expect(send).to.include({ remainingMs: 500, team: "team-a", attempt: 1 });
    expect(send!.forwarder).to.deep.equal({
      node: "entry-2",
      address: "entry-2:1",
      key: "key of entry-2",
    });
  });

  // Guards against a cut of a whole zone: what the daemons of the zone refuse has to go beyond it.
  it("go beyond the zone where its daemons have lost the path too", () => {
    const harness = startDaemon();
    losePath(harness);
    sendRequest(harness, "r1");
    const next = failForwarded(harness, "r1", {
      attempt: 1,
      outcome: "status_not_run",
      side: "forwarder",
      refusal: "path_lost",
    });
    expect(forwardersOf(next)).to.deep.equal(["entry-3"]);
    expect(forwardersOf(sendRequest(harness, "r2"))).to.deep.equal(["entry-3"]);
  });

  it("go directly where the path is lost and no daemon forwards", () => {
    const harness = startDaemon({ daemons: [] });
    expect(forwardersOf(losePath(harness))).to.deep.equal(
      Array.from({ length: 3 }, () => undefined),
    );
  });

  it("are sent through another daemon after two failed connections, though kept ones still work", () => {
    const harness = startDaemon({ runners: [...DESKS, ...HEADS] });
    sendRequest(harness, "r1");
    failAttempt(harness, "r1", { outcome: "connect_refused" });
    harness.feed({ kind: "runner_connected", address: "desk-1:80" });
    failAttempt(harness, "r1", { attempt: 2, outcome: "connect_refused" });
    expect(isPathLost(harness.state.gateway!, "desk")).to.equal(false);
    expect(forwardersOf(harness.effects).at(-1)).to.equal("entry-2");
  });

  it("leave other services alone", () => {
    const harness = startDaemon({ runners: [...DESKS, ...HEADS] });
    losePath(harness);
    const chat = sendRequest(harness, "c1", {
      path: "/chat/1",
      model: "small",
    });
    expect(forwardersOf(chat)).to.deep.equal([undefined]);
  });

  it("go directly again once a probe has connected, also to runners that were avoided", () => {
    const harness = startDaemon();
    losePath(harness);
    const probes = effectsOf(harness.advance(100), "probe_path");
    expect(probes).to.not.deep.equal([]);
    const { runner } = probes[0]!;
    harness.feed({ kind: "path_probed", runner, isReachable: true });
    const sends = ["r1", "r2", "r3"].flatMap((id) =>
      effectsOf(sendRequest(harness, id), "send_to_runner")
    );
    expect(sends.map(({ forwarder }) => forwarder)).to.deep.equal(
      [undefined, undefined, undefined],
    );
    const stats = [...harness.state.gateway!.runnerStats.values()];
    expect(stats.every(({ avoidUntil }) => avoidUntil <= harness.state.now))
      .to.equal(true);
  });

  it("probe only from time to time, and a few runners only", () => {
    const harness = startDaemon();
    losePath(harness);
    const probes = effectsOf(harness.advance(4_000), "probe_path");
    expect(probes.length).to.be.within(10, 33);
  });
});

describe("a forwarder that fails", () => {
  function sendForwarded(path: string): GatewayHarness {
    const harness = startDaemon({ runners: DESKS });
    publish(harness, {
      runners: DESKS,
      document: createDocument({ version: 2, routes: ROUTES }),
    });
    losePath(harness);
    sendRequest(harness, "r1", { path });
    return harness;
  }

  // Guards against a booking that a stopped, frozen or cut-off daemon may have sent and that is sent once more.
  it("ends a request that may not run twice as one that may have run", () => {
    const harness = sendForwarded("/book/1");
    const effects = failForwarded(harness, "r1", {
      attempt: 1,
      outcome: "reset_after_send",
      side: "forwarder",
    });
    expect(forwardersOf(effects)).to.deep.equal([]);
    expect(refusalOf(effects)).to.include({ verdict: "may_have_run" });
  });

  it("that does not answer in time leaves it open whether a booking ran", () => {
    const harness = sendForwarded("/book/1");
    const effects = harness.advance(900).filter((effect) =>
      "request" in effect && effect.request === "r1"
    );
    expect(forwardersOf(effects)).to.deep.equal([]);
    expect(refusalOf(effects)).to.include({ verdict: "may_have_run" });
  });

  it("is replaced for an idempotent request, and its runner is not blamed", () => {
    const harness = sendForwarded("/loans/1");
    const { readSharing, runnerStats, requests } = harness.state.gateway!;
    const { runner } = requests.get("r1")!.currentAttempt!;
    const before = [...readSharing.suspects];
    const { failures } = runnerStats.get(runner)!;
    const effects = failForwarded(harness, "r1", {
      attempt: 1,
      outcome: "reset_after_send",
      side: "forwarder",
    });
    expect(forwardersOf(effects)).to.deep.equal(["entry-3"]);
    expect([...readSharing.suspects]).to.deep.equal(before);
    expect(runnerStats.get(runner)!.failures).to.equal(failures);
  });

  it("is replaced where it cannot be connected to, without a use of the route's limit", () => {
    const harness = sendForwarded("/book/1");
    const effects = failForwarded(harness, "r1", {
      attempt: 1,
      outcome: "connect_timeout",
      side: "forwarder",
    });
    expect(forwardersOf(effects)).to.deep.equal(["entry-3"]);
    expect(harness.state.gateway!.requests.get("r1")!.countedAttempts).to.equal(
      1,
    );
  });

  it("gets no more requests while it refuses", () => {
    const harness = sendForwarded("/loans/1");
    failForwarded(harness, "r1", {
      attempt: 1,
      outcome: "status_not_run",
      side: "forwarder",
      refusal: "stopping",
    });
    harness.advance(1_000);
    expect(forwardersOf(sendRequest(harness, "r2"))).to.deep.equal(["entry-3"]);
  });

  // Guards against sound daemons that are avoided since runners that are full refuse what they forward.
  it("is not blamed for a runner that refuses a request", () => {
    const harness = sendForwarded("/loans/1");
    harness.feed({
      kind: "response_ended",
      request: "r1",
      attempt: 1,
      status: 503,
      verdict: "not_run",
      isRelayable: false,
    });
    const { forwarding } = harness.state.gateway!;
    expect(forwarding.forwarders.get("entry-2")).to.include({ failures: 0 });
    expect(forwardersOf(sendRequest(harness, "r2"))).to.deep.equal(["entry-2"]);
  });

  // Guards against a neighbor that has lost its own path without knowing, and runners that are blamed for it.
  it("is not used again by a request where it reached no runner, and its runner is not blamed yet", () => {
    const harness = sendForwarded("/loans/1");
    const { runnerStats, requests } = harness.state.gateway!;
    const { runner } = requests.get("r1")!.currentAttempt!;
    const { avoidForwardedUntil } = runnerStats.get(runner)!;
    const effects = failForwarded(harness, "r1", {
      attempt: 1,
      outcome: "connect_timeout",
      side: "runner",
    });
    expect(forwardersOf(effects)).to.deep.equal(["entry-3"]);
    expect(runnerStats.get(runner)!.avoidForwardedUntil).to.equal(
      avoidForwardedUntil,
    );
  });

  it("still gets requests, and the runner is blamed, where a second one does not reach it either", () => {
    const harness = startDaemon({ runners: DESKS.slice(0, 1) });
    losePath(harness);
    sendRequest(harness, "r1");
    for (const attempt of [1, 2]) {
      failForwarded(harness, "r1", {
        attempt,
        outcome: "connect_refused",
        side: "runner",
      });
    }
    const stats = harness.state.gateway!.runnerStats.get("desk-0")!;
    expect(stats.avoidForwardedUntil).to.be.above(harness.state.now);
    stats.avoidForwardedUntil = 0;
    harness.advance(600);
    expect(forwardersOf(sendRequest(harness, "r2"))).to.deep.equal(["entry-2"]);
  });

  it("is asked by one request once, and by no request without end", () => {
    const daemons = Array.from(
      { length: 40 },
      (_, index) => createDaemon(`other-${index}`),
    );
    const harness = startDaemon({ daemons });
    losePath(harness);
    let effects = sendRequest(harness, "r1");
    const asked: (string | undefined)[] = [];
    for (let attempt = 1; forwardersOf(effects).length > 0; attempt += 1) {
      asked.push(...forwardersOf(effects));
      effects = failForwarded(harness, "r1", {
        attempt,
        outcome: "status_not_run",
        side: "forwarder",
        refusal: "busy",
      });
    }
    expect(new Set(asked).size).to.equal(asked.length);
    expect(asked.length).to.be.at.most(8);
    expect(refusalOf(effects)).to.include({ verdict: "not_run" });
  });
});

describe("the loss of the own path", () => {
  it("is not blamed on runners once another daemon has reached them", () => {
    const harness = startDaemon();
    losePath(harness);
    respond(harness, "lost", 3);
    const { readSharing } = harness.state.gateway!;
    expect([...readSharing.suspects]).to.deep.equal([]);
    sendRequest(harness, "r1", { fingerprint: "f1" });
    const { runner } = harness.state.gateway!.requests.get("r1")!
      .currentAttempt!;
    harness.feed({
      kind: "runner_checked",
      runner,
      status: "refused",
      report: undefined,
    });
    const shared = effectsOf(harness.effects, "share_parts");
    expect(shared).to.deep.equal([]);
    const passedOn = harness.effects.filter((effect) =>
      effect.kind === "send_to_upstream" || effect.kind === "send_to_followers"
    );
    expect(passedOn).to.deep.equal([]);
  });

  // Guards against suspects of a cut that a daemon passes on once the cut is over.
  it("is not blamed on runners after it has ended either", () => {
    const harness = startDaemon();
    const { suspects } = harness.state.gateway!.readSharing;
    losePath(harness);
    harness.advance(900);
    expect(suspects.size).to.be.above(0);
    harness.feed({ kind: "path_probed", runner: "desk-0", isReachable: true });
    expect([...suspects]).to.deep.equal([]);
  });

  it("makes a planner leave the leadership until the path is back", () => {
    const harness = startDaemon({ runners: HEADS });
    harness.feed({ kind: "leadership_renewed", isGranted: true, sentAt: 0 });
    harness.feed({ kind: "term_begun", term: 7 });
    const chat = { path: "/chat/1", model: "small", deadlineMs: 6_000 };
    sendRequest(harness, "c1", chat);
    failAttempt(harness, "c1", { outcome: "connect_refused" });
    failAttempt(harness, "c1", { attempt: 2, outcome: "connect_refused" });
    harness.advance(700);
    const { leadership } = harness.state.gateway!.groupPlanner;
    expect(leadership).to.include({ isGranted: false, hasYielded: true });
    expect(effectsOf(harness.effects, "order_runner")).to.deep.equal([]);
    harness.feed({ kind: "path_probed", runner: "head-0", isReachable: true });
    harness.advance(300);
    expect(leadership.hasYielded).to.equal(false);
  });
});

describe("a daemon without any path", () => {
  function isReady({ state }: GatewayHarness): boolean {
    return isGatewayReady(state, state.now);
  }

  it("leaves the rotation and sends its callers elsewhere, until the path is back", () => {
    const harness = startDaemon({ daemons: [] });
    losePath(harness);
    expect(isReady(harness)).to.equal(true);
    harness.advance(1_200);
    expect(isReady(harness)).to.equal(false);
    const refused = losePath(harness, "r2").concat(harness.advance(900));
    expect(refusalOf(refused)).to.include({ closesConnection: true });
    harness.feed({ kind: "path_probed", runner: "desk-1", isReachable: true });
    expect(isReady(harness)).to.equal(true);
  });

  it("stays in rotation while another daemon forwards, or one service is reached", () => {
    const served = startDaemon();
    losePath(served);
    const partly = startDaemon({ daemons: [], runners: [...DESKS, ...HEADS] });
    losePath(partly);
    for (const harness of [served, partly]) {
      harness.advance(1_200);
      expect(isReady(harness)).to.equal(true);
    }
  });
});

describe("a daemon that forwards for others", () => {
  function forward(
    harness: GatewayHarness,
    changes: Partial<Extract<EventBody, { kind: "forward_arrived" }>> = {},
  ): ForwardRefusal | "sent" {
    const effects = harness.feed({
      kind: "forward_arrived",
      request: `f${harness.effects.length}`,
      runner: "desk-0",
      host: "a.example",
      path: "/loans/1",
      key: "key-a",
      team: "team-a",
      promptParts: [],
      fingerprint: "f",
      isTrial: false,
      ...changes,
    });
    expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
    const [refusal] = effectsOf(effects, "refuse_forward");
    if (refusal !== undefined) return refusal.cause;
    const { runner = "desk-0" } = changes;
    expect(effectsOf(effects, "forward")[0]!.address).to.equal(`${runner}:80`);
    return "sent";
  }

  it("sends to the runner itself, at the address that it knows", () => {
    expect(forward(startDaemon())).to.equal("sent");
  });

  const cases: [string, ForwardRefusal, Parameters<typeof forward>[1]][] = [
    ["a key that is withdrawn", "not_allowed", { key: "key-old" }],
    ["another team than the key's", "not_allowed", { team: "team-b" }],
    ["a route that it does not know", "not_allowed", { path: "/none/1" }],
    ["a runner of a service that the route does not use", "not_allowed", {
      path: "/chat/1",
    }],
    ["a runner that it does not know", "runner_gone", { runner: "desk-9" }],
    ["a runner that is leaving", "runner_gone", { runner: "leaving" }],
  ];
  for (const [what, cause, changes] of cases) {
    it(`refuses ${what}`, () => {
      const leaving = createRunner("leaving", { state: "draining" });
      const harness = startDaemon({ runners: [...DESKS, leaving] });
      expect(forward(harness, changes)).to.equal(cause);
    });
  }

  it("refuses where its own path is lost, so that a request takes one hop", () => {
    const harness = startDaemon();
    losePath(harness);
    expect(forward(harness)).to.equal("path_lost");
  });

  // Guards against a cut-off daemon without traffic of its own, which finds out only by the requests of others.
  it("refuses once connections for others have failed", () => {
    const harness = startDaemon();
    for (const runner of ["desk-0", "desk-1"]) {
      expect(forward(harness, { runner })).to.equal("sent");
      const outcome = "connect_timeout";
      harness.feed({ kind: "forward_unconnected", runner, outcome });
    }
    expect(forward(harness)).to.equal("path_lost");
  });

  // Guards against issue 38: what a runner asked of a daemon that forwards holds for that daemon.
  it("refuses while the runner has asked for a back-off, and for one that has said that it leaves", () => {
    for (
      const answer of [{ backoffMs: 2_000, isLeaving: false }, {
        backoffMs: undefined,
        isLeaving: true,
      }]
    ) {
      const harness = startDaemon();
      expect(forward(harness)).to.equal("sent");
      const kind = "forward_answered";
      harness.feed({ kind, runner: "desk-0", ...answer });
      expect(forward(harness)).to.equal("runner_gone");
      expect(forward(harness, { runner: "desk-1" })).to.equal("sent");
    }
  });

  it("refuses what is quarantined", () => {
    const harness = startDaemon();
    const record = { part: "bad", round: 0, crashes: 9, trials: 0 };
    harness.feed({ kind: "parts_read", readings: [{ record, ageMs: 0 }] });
    expect(forward(harness, { promptParts: ["bad"] })).to.equal("quarantined");
  });

  // Guards against cut-off daemons whose requests take the processor time of a sound daemon's own callers.
  it("takes no more requests of others than it has room for", () => {
    const harness = startDaemon();
    const results = Array.from({ length: 300 }, () => forward(harness));
    const sent = results.filter((each) => each === "sent").length;
    expect(sent).to.be.within(50, 150);
    expect(results.at(-1)).to.equal("busy");
    const [request] = harness.state.gateway!.forwarding.inFlight;
    harness.feed({ kind: "forward_ended", request: request! });
    expect(forward(harness)).to.equal("sent");
  });

  it("refuses while its sweeps run late", () => {
    const harness = startDaemon();
    harness.state.gateway!.forwarding.lateness.value = 80;
    expect(forward(harness)).to.equal("busy");
  });

  it("refuses new ones once it stops, and stops when the last has ended", () => {
    const harness = startDaemon();
    forward(harness);
    const [request] = harness.state.gateway!.forwarding.inFlight;
    harness.feed({ kind: "gateway_stop_ordered" });
    expect(forward(harness)).to.equal("stopping");
    expect(effectsOf(harness.advance(5_000), "exit")).to.deep.equal([]);
    harness.feed({ kind: "forward_ended", request: request! });
    expect(effectsOf(harness.advance(500), "exit")).to.have.length(1);
  });
});
