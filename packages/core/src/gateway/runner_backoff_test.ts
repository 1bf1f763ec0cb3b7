import { expect } from "chai";
import {
  createHarness,
  createRunner,
  effectsOf,
  type GatewayHarness,
  publish,
  refusalOf,
  sendRequest,
} from "./test_fixture.ts";

const IDS = ["desk-0", "desk-1", "desk-2"];
/** Time for which requests that were on their way may still arrive, ms. */
const TOLERANCE_MS = 500;
const TOLERATED_REQUESTS = 2;

function createDesks(startedUnixMs = 1) {
  return IDS.map((id) => createRunner(id, { startedUnixMs }));
}

function startDesk(): GatewayHarness {
  const harness = createHarness({ revokeMs: 60_000 });
  publish(harness, { runners: createDesks() });
  return harness;
}

function targetOf({ state }: GatewayHarness, request: string) {
  return state.gateway!.requests.get(request)?.currentAttempt?.runner;
}

/** Answers the current attempt of a request with 503 and a back-off, and returns the effects. */
function refuse(harness: GatewayHarness, request: string, backoffMs?: number) {
  const { number: attempt } = harness.state.gateway!.requests.get(request)!
    .currentAttempt!;
  const at = { request, attempt, status: 503, verdict: "not_run" as const };
  harness.feed({ kind: "response_started", ...at, load: undefined, backoffMs });
  return harness.feed({ kind: "response_ended", ...at, isRelayable: false });
}

function answer(harness: GatewayHarness, request: string) {
  const { number: attempt } = harness.state.gateway!.requests.get(request)!
    .currentAttempt!;
  const at = { request, attempt, status: 200, verdict: "ran" as const };
  harness.feed({ kind: "response_started", ...at, load: undefined });
  return harness.feed({ kind: "response_ended", ...at, isRelayable: false });
}

/** Makes every runner ask for a back-off, and returns the effects. */
function askAll(harness: GatewayHarness, backoffMs: number) {
  sendRequest(harness, "first");
  return [
    refuse(harness, "first", backoffMs),
    refuse(harness, "first", backoffMs),
  ]
    .concat([sendAndRefuse(harness, "second", backoffMs)]).flat();
}

function sendAndRefuse(harness: GatewayHarness, id: string, backoffMs: number) {
  sendRequest(harness, id);
  return refuse(harness, id, backoffMs);
}

describe("a runner that answers 503 and asks for a back-off", () => {
  // Guards against the second report of issue 38: requests in the back-off that a runner had asked this daemon for.
  it("gets no requests in that time, also where many are sent, and few at first after it", () => {
    const harness = startDesk();
    sendRequest(harness, "r0");
    const refusing = targetOf(harness, "r0")!;
    refuse(harness, "r0", 2_500);
    const sentAt: number[] = [];
    for (let index = 1; index <= 250; index += 1) {
      harness.advance(20);
      sendRequest(harness, `r${index}`);
      if (targetOf(harness, `r${index}`) === refusing) {
        sentAt.push(harness.state.now);
      } else answer(harness, `r${index}`);
    }
    expect(sentAt.filter((at) => at < 2_500)).to.deep.equal([]);
    const firstBack = sentAt.filter((at) => at < sentAt[0]! + 400);
    expect(firstBack).to.have.length(1);
    expect(sentAt[0]).to.be.below(3_500);
  });

  it("gets more requests once the first one after it has an answer", () => {
    const harness = startDesk();
    const { runnerStats } = harness.state.gateway!;
    sendRequest(harness, "r0");
    const refusing = targetOf(harness, "r0")!;
    refuse(harness, "r0", 500);
    harness.advance(600);
    let index = 1;
    for (; runnerStats.get(refusing)!.backoff !== undefined; index += 1) {
      sendRequest(harness, `r${index}`);
      answer(harness, `r${index}`);
    }
    expect(index).to.be.below(20);
  });

  it("gets none until the later end where it asks twice, whichever comes last", () => {
    for (const backoffs of [[3_000, 500], [500, 3_000]]) {
      const harness = startDesk();
      for (const id of IDS) sendRequest(harness, `a-${id}`);
      const refusing = targetOf(harness, "a-desk-0")!;
      sendRequest(harness, "b");
      while (targetOf(harness, "b") !== refusing) refuse(harness, "b");
      refuse(harness, "a-desk-0", backoffs[0]);
      refuse(harness, "b", backoffs[1]);
      const { backoff } = harness.state.gateway!.runnerStats.get(refusing)!;
      expect(backoff!.until).to.be.at.least(3_000);
    }
  });

  it("owes nothing as another process, also where its entry was missing", () => {
    const harness = startDesk();
    askAll(harness, 3_000);
    harness.advance(600);
    harness.feed({
      kind: "runners_read",
      runners: createDesks(2),
      removedIds: [],
      isWhole: true,
      position: { timeline: 1, offset: 1 },
      confirmedAt: 0,
    });
    expect(effectsOf(sendRequest(harness, "r1"), "send_to_runner")).to.have
      .length(1);
  });

  it("keeps its back-off where its entry is missing for a moment", () => {
    const harness = startDesk();
    askAll(harness, 3_000);
    for (const runners of [[], createDesks()]) {
      harness.feed({
        kind: "runners_read",
        runners,
        removedIds: [],
        isWhole: true,
        position: { timeline: 1, offset: 1 },
        confirmedAt: 0,
      });
    }
    expect(effectsOf(sendRequest(harness, "r1"), "send_to_runner")).to.deep
      .equal([]);
  });

  it("gets none before its end where this daemon was suspended meanwhile", () => {
    const harness = startDesk();
    askAll(harness, 3_000);
    harness.feed({ kind: "clock_jumped", driftMs: 2_000 });
    harness.advance(2_000);
    publish(harness, { runners: createDesks() });
    expect(effectsOf(sendRequest(harness, "r1"), "send_to_runner")).to.deep
      .equal([]);
  });

  it("gets no health checks of the planner", () => {
    const harness = startDesk();
    askAll(harness, 3_000);
    expect(effectsOf(harness.advance(2_000), "check_runner")).to.deep.equal([]);
  });
});

describe("a service whose runners all ask for a back-off", () => {
  it("refuses at once, and says when the first one may be asked again", () => {
    const harness = startDesk();
    askAll(harness, 2_000);
    const delays = Array.from({ length: 20 }, (_, index) => {
      const effects = sendRequest(harness, `r${index}`);
      return refusalOf(effects)!;
    });
    for (const { verdict, retryAfterMs } of delays) {
      expect(verdict).to.equal("not_run");
      expect(retryAfterMs).to.be.within(2_000, 2_500);
    }
    expect(new Set(delays.map(({ retryAfterMs }) => retryAfterMs)).size).to.be
      .above(10);
  });

  it("tells those whose last attempt was refused the same", () => {
    const harness = startDesk();
    const refusals = effectsOf(askAll(harness, 2_000), "refuse");
    expect(refusals.at(-1)!.retryAfterMs).to.be.at.least(2_000);
  });

  it("answers those that wait as soon as they cannot be served in time", () => {
    const harness = startDesk();
    askAll(harness, 20);
    // The route's requests wait for 37 ms at most.
    const effects = sendRequest(harness, "r1");
    expect(refusalOf(effects)).to.equal(undefined);
    for (const id of IDS) {
      harness.state.gateway!.runnerStats.get(id)!.backoff!.until += 1_000;
    }
    const [refusal] = effectsOf(harness.advance(50), "refuse");
    expect(refusal).to.include({ request: "r1", verdict: "not_run" });
  });

  it("gets at most two requests a runner and daemon in the rest, for any order of answers", () => {
    const harness = startDesk();
    const until = new Map<string, number>();
    const late = new Map<string, number>();
    for (let index = 0; index < 300; index += 1) {
      harness.advance(10);
      const id = `r${index}`;
      sendRequest(harness, id);
      for (
        let runner = targetOf(harness, id);
        runner !== undefined;
        runner = targetOf(harness, id)
      ) {
        const end = until.get(runner) ?? -Infinity;
        const { now } = harness.state;
        if (now < end && now > end - 1_000 + TOLERANCE_MS) {
          late.set(runner, (late.get(runner) ?? 0) + 1);
        }
        until.set(runner, now + 1_000);
        refuse(harness, id, 1_000);
      }
    }
    expect(until.size).to.equal(IDS.length);
    expect([...late.values()].filter((count) => count > TOLERATED_REQUESTS)).to
      .deep.equal([]);
  });
});
