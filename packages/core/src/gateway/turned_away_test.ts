import { expect } from "chai";
import { AVOID_MS, URGENT_QUEUE_REQUESTS } from "./constants.ts";
import { runnerStatsOf } from "./runner_stats.ts";
import { LOAD_ENGINE } from "./test_engines.ts";
import {
  createDocument,
  createHarness,
  createHead,
  effectsOf,
  failAttempt,
  type GatewayHarness,
  publish,
  refusalOf,
  sendRequest,
} from "./test_fixture.ts";
import { createStreamRoute } from "./test_load.ts";
import type { Route } from "./types.ts";

const RUNNERS = ["head-0", "head-1"];
const SLOTS = LOAD_ENGINE.slots;
/** Requests at a group that has no room for a retry either. */
const FULL = SLOTS + URGENT_QUEUE_REQUESTS;
const TURNED_AWAY = { outcome: "status_not_run" } as const;

function start(
  changes: Partial<Route> = {},
  { isShared = true, retries = 5 } = {},
): GatewayHarness {
  const harness = createHarness({}, { retries });
  const routes = ["a", "b"].slice(0, isShared ? 2 : 1).map((name) =>
    createStreamRoute(name, { targetLatencyMs: 1_000, ...changes })
  );
  publish(harness, {
    runners: RUNNERS.map((id) => createHead(id)),
    document: createDocument({
      routes,
      services: [{ name: "llm", engine: LOAD_ENGINE }],
    }),
  });
  // No other daemon takes what comes free.
  harness.state.gateway!.workShare.value = 1;
  return harness;
}

/** Reports requests of other daemons at a group. */
function report(harness: GatewayHarness, id: string, remote: number): void {
  const { now, gateway } = harness.state;
  const stats = runnerStatsOf(gateway!, id);
  const localInFlight = stats.inFlight;
  const running = remote + localInFlight;
  stats.load = { running, waiting: 0, at: now, localInFlight };
}

/** Sends a request while a single group has room, and returns that one and the other. */
function sendOne(harness: GatewayHarness, request = "one", route = "a") {
  report(harness, "head-0", 0);
  report(harness, "head-1", SLOTS * 2);
  const [send] = effectsOf(
    sendRequest(harness, request, {
      path: `/${route}/1`,
      model: "small",
      deadlineMs: 8_000,
    }),
    "send_to_runner",
  );
  expect(send!.runner).to.equal("head-0");
  return send!;
}

const waiterOf = ({ state }: GatewayHarness, request = "one") =>
  [...state.gateway!.admission.queues.values()][0]?.waiters.get(request);

const sentIn = (effects: ReturnType<typeof sendRequest>) =>
  effectsOf(effects, "send_to_runner").map(({ request, runner }) =>
    `${request} ${runner}`
  );

function loggedIn(effects: ReturnType<typeof sendRequest>): string[] {
  return effectsOf(effects, "log").map(({ event }) => event);
}

describe("a request that a runner turned away while no other has room", () => {
  // Guards against refusals of requests that a slot would have come free for.
  it("waits in the fair queue and goes to another runner once that has room", () => {
    const harness = start();
    sendOne(harness);
    harness.advance(20);
    report(harness, "head-1", FULL);
    const effects = failAttempt(harness, "one", TURNED_AWAY);
    expect(refusalOf(effects)).to.equal(undefined);
    expect(loggedIn(effects)).to.include("request_returned");
    expect(waiterOf(harness)?.isReturned).to.equal(true);
    const { waitUntil, arrivedAt } = harness.state.gateway!.requests.get(
      "one",
    )!;
    expect(waitUntil - arrivedAt).to.be.below(4_000);
    report(harness, "head-1", 0);
    expect(sentIn(harness.advance(100))).to.deep.equal(["one head-1"]);
  });

  // Guards against a place behind requests that came later, as for a new arrival.
  it("goes before those of its route and team that began to wait later", () => {
    const harness = start();
    sendOne(harness);
    report(harness, "head-0", SLOTS * 2);
    report(harness, "head-1", FULL);
    sendRequest(harness, "two", {
      path: "/a/1",
      model: "small",
      deadlineMs: 8_000,
    });
    expect(waiterOf(harness, "two")).to.not.equal(undefined);
    failAttempt(harness, "one", TURNED_AWAY);
    report(harness, "head-1", 0);
    const sent = sentIn(harness.advance(100));
    expect(sent[0]).to.equal("one head-1");
  });

  // Guards against a returned request that keeps others of its team from the runner that turned it away.
  it("lets others go to that runner", () => {
    const harness = start();
    sendOne(harness);
    report(harness, "head-1", FULL);
    failAttempt(harness, "one", TURNED_AWAY);
    sendRequest(harness, "two", {
      path: "/a/1",
      model: "small",
      deadlineMs: 8_000,
    });
    const effects: ReturnType<typeof sendRequest> = [];
    // The runner is avoided for a moment after it turned a request away.
    for (let elapsed = 0; elapsed <= AVOID_MS; elapsed += 50) {
      report(harness, "head-0", 0);
      report(harness, "head-1", FULL);
      effects.push(...harness.advance(50));
    }
    expect(sentIn(effects)).to.deep.equal(["two head-0"]);
    expect(waiterOf(harness)).to.not.equal(undefined);
  });

  // Guards against a wait that is of no use, and a refusal that says too little.
  it("is refused at once, as not run, where the wait would outlast its use", () => {
    const harness = start();
    sendOne(harness);
    report(harness, "head-1", SLOTS * 8);
    const refusal = refusalOf(failAttempt(harness, "one", TURNED_AWAY))!;
    expect(refusal).to.include({ verdict: "not_run", code: "overloaded" });
    expect(refusal.retryAfterMs).to.be.above(0);
  });

  it("is refused as not run where no room came", () => {
    const harness = start();
    sendOne(harness);
    report(harness, "head-1", FULL);
    failAttempt(harness, "one", TURNED_AWAY);
    for (let elapsed = 0; elapsed < 5_000; elapsed += 50) {
      for (const id of RUNNERS) report(harness, id, FULL);
      harness.advance(50);
    }
    expect(refusalOf(harness.effects)).to.include({ verdict: "not_run" });
    expect(harness.state.gateway!.requests.size).to.equal(0);
  });

  // Guards against a refusal that says "not run" though an earlier attempt may have run.
  it("is not refused as not run where an earlier attempt may have run", () => {
    const harness = start({ kind: "resumable_stream", maxAttempts: 3 });
    const send = sendOne(harness);
    report(harness, "head-1", 0);
    failAttempt(harness, "one", { outcome: "reset_after_send" });
    const { request } = send;
    expect(harness.state.gateway!.requests.get(request)!.mayHaveRun).to.equal(
      true,
    );
    report(harness, "head-0", FULL);
    failAttempt(harness, "one", { attempt: 2, ...TURNED_AWAY });
    for (let elapsed = 0; elapsed < 5_000; elapsed += 50) {
      for (const id of RUNNERS) report(harness, id, FULL);
      harness.advance(50);
    }
    const refusal = refusalOf(harness.effects)!;
    expect(refusal.verdict).to.equal("may_have_run");
    expect(refusal.code).to.not.equal("overloaded");
    expect(refusal.retryAfterMs).to.equal(undefined);
  });

  // Guards against a second send of what may have run and may not be repeated.
  it("does not wait where it may have run and may not be repeated", () => {
    const harness = start({ kind: "non_idempotent", maxAttempts: 3 });
    sendOne(harness);
    report(harness, "head-1", FULL);
    const effects = failAttempt(harness, "one", {
      outcome: "reset_after_send",
    });
    expect(refusalOf(effects)).to.include({ verdict: "may_have_run" });
  });

  it("does not wait after its last attempt, or without a retry in the budget", () => {
    for (
      const harness of [start({ maxAttempts: 1 }), start({}, { retries: 0 })]
    ) {
      sendOne(harness);
      report(harness, "head-1", FULL);
      const refusal = refusalOf(failAttempt(harness, "one", TURNED_AWAY));
      expect(refusal).to.include({ verdict: "not_run" });
    }
  });

  it("is refused as before where the policy of its service is local", () => {
    const harness = start({}, { isShared: false });
    sendOne(harness);
    report(harness, "head-1", FULL);
    const refusal = refusalOf(failAttempt(harness, "one", TURNED_AWAY));
    expect(refusal).to.include({ verdict: "not_run" });
  });
});
