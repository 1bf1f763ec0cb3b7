import { expect } from "chai";
import fc from "fast-check";
import {
  createDocument,
  createHarness,
  createHead,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "./test_fixture.ts";
import { LOAD_ENGINE } from "./test_engines.ts";
import { createStreamRoute } from "./test_load.ts";

const SLOTS = 2;
const TEAMS = ["one", "two"];
const ROUTES = [
  createStreamRoute("a", { kind: "resumable_stream" }),
  createStreamRoute("b"),
  createStreamRoute("c", { priority: 1 }),
];

function start(seed: number): GatewayHarness {
  const harness = createHarness({}, { seed });
  const teams = TEAMS.map((name) => ({
    name,
    keys: [`key-${name}`],
    priority: undefined,
  }));
  const engine = { ...LOAD_ENGINE, slots: SLOTS };
  publish(harness, {
    runners: ["head-0", "head-1"].map((id) => createHead(id)),
    document: createDocument({
      routes: ROUTES,
      teams,
      services: [{ name: "llm", engine }],
    }),
  });
  return harness;
}

type Act = "arrive" | "close" | "begin" | "end" | "reject" | "cut" | "advance";
const ACTS: Act[] = [
  "arrive",
  "arrive",
  "arrive",
  "close",
  "begin",
  "end",
  "reject",
  "cut",
  "advance",
];

interface Step {
  act: Act;
  pick: number;
}

/** Carries out one step on the gateway; the pick chooses among what it may concern. */
function carryOut(
  harness: GatewayHarness,
  { act, pick }: Step,
  index: number,
): void {
  const requests = [...harness.state.gateway!.requests.values()];
  if (act === "arrive") {
    sendRequest(harness, `r${index}`, {
      path: `/${ROUTES[pick % ROUTES.length]!.name}/1`,
      key: `key-${TEAMS[pick % TEAMS.length]}`,
      model: "small",
      deadlineMs: 4_000,
      fingerprint: `f${pick % 5}`,
    });
    return;
  }
  if (act === "advance") {
    harness.advance(10 + pick % 400);
    return;
  }
  const chosen = requests[pick % Math.max(1, requests.length)];
  if (chosen === undefined) return;
  const { id: request, currentAttempt } = chosen;
  if (act === "close") {
    harness.feed({ kind: "routed_request_closed", request });
  }
  if (currentAttempt === undefined) return;
  const attempt = currentAttempt.number;
  if (act === "begin") {
    harness.feed({
      kind: "response_started",
      request,
      attempt,
      status: 200,
      verdict: "ran",
      load: { running: pick % 5, waiting: 0 },
    });
  }
  const outcome = act === "cut" ? "body_cut_off" : "status_not_run";
  if (act === "cut" || act === "reject") {
    harness.feed({ kind: "response_failed", request, attempt, outcome });
  }
  if (act !== "end") return;
  harness.feed({
    kind: "response_ended",
    request,
    attempt,
    status: 200,
    verdict: "ran",
    isRelayable: false,
  });
}

function checkCounts({ state }: GatewayHarness): void {
  const { requests, admission, waitingRequests } = state.gateway!;
  const all = [...requests.values()];
  const inFlight = all.filter(({ currentAttempt }) =>
    currentAttempt !== undefined
  );
  expect([...admission.holders.keys()].sort()).to.deep.equal(
    inFlight.map(({ id }) => id).sort(),
  );
  const waiting = all.filter(({ isWaiting }) => isWaiting).map(({ id }) => id);
  const listed = [...waitingRequests.values()].flatMap((ids) => [...ids]);
  expect(listed.sort()).to.deep.equal(waiting.sort());
  for (const queue of admission.queues.values()) {
    let backlog = 0;
    let held = 0;
    for (const level of queue.levels) {
      backlog += level.inTime.backlog + level.late.backlog;
      for (const { cost } of level.held.values()) held += cost;
    }
    expect(backlog).to.equal(queue.waiters.size);
    for (const id of queue.waiters.keys()) expect(waiting).to.include(id);
    const costs = [...admission.holders.values()].map(({ cost }) => cost);
    expect(held).to.equal(costs.reduce((sum, cost) => sum + cost, 0));
  }
}

describe("counts of a service of policy shared", () => {
  it("match the requests after any events, and no request is answered twice", () => {
    const step = fc.record({
      act: fc.constantFrom(...ACTS),
      pick: fc.nat(1_000),
    });
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 20, maxLength: 150 }),
        fc.nat(1_000),
        (steps, seed) => {
          const harness = start(seed);
          steps.forEach((each, index) => {
            carryOut(harness, each, index);
            checkCounts(harness);
          });
          const ended = [
            ...effectsOf(harness.effects, "refuse"),
            ...effectsOf(harness.effects, "finish"),
          ].map(({ request }) => request);
          expect(new Set(ended).size).to.equal(ended.length);
        },
      ),
      { seed: 20_261_206, numRuns: 150 },
    );
  });

  it("leave no request waiting for longer than it is of use to its caller", () => {
    const harness = start(3);
    for (let index = 0; index < 60; index += 1) {
      carryOut(harness, { act: "arrive", pick: index }, index);
    }
    harness.advance(2_000);
    expect(harness.state.gateway!.admission.queues.size).to.equal(1);
    for (
      const { waiters } of harness.state.gateway!.admission.queues.values()
    ) {
      expect(waiters.size).to.equal(0);
    }
  });
});
