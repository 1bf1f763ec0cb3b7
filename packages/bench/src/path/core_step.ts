/**
 * Measures the cost of a reducer step and of a routing decision as the fleet grows.
 *
 * @module
 */
import {
  createState,
  type EventBody,
  type LogRecord,
  reduce,
  type State,
} from "@primroseshed/core";
import type { Bench, Figure } from "../figure.ts";
import { createDocument, principalOf, TEAMS } from "../fleet/document.ts";

const MEMBERS_PER_GROUP = 2;
const SMALL_RUNNERS = 60;
const LARGE_RUNNERS = 3_100;
const WARM_UP_STEPS = 30_000;
const STEPS = 60_000;
const ROUNDS = 5;
const TOKENS = 20;
const US_PER_MS = 1_000;
/** Requests per second at one entry when one of seven zones has failed. */
const REQUESTS_PER_SECOND = 65;
const US_PER_SECOND = 1_000_000;

function membersOf(group: string) {
  return Array.from({ length: MEMBERS_PER_GROUP }, (_, index) => ({
    vm: `${group}-vm${index}`,
    address: `http://${group}:${index + 1}`,
    zone: "suva-a",
    domain: group,
  }));
}

/** A core with a fleet of runners, all confirmed, and a source of requests. */
export interface BusyCore {
  state: State;
  /** Feeds all events of one request; returns the number of steps and the time of its arrival step, ms. */
  serveRequest(): { steps: number; decisionMs: number };
}

/** Creates a core that serves requests with `runners` runners. */
export function createBusyCore(runners: number): BusyCore {
  const groups = runners / MEMBERS_PER_GROUP;
  const node = {
    name: "entry-0",
    zone: "suva-a",
    site: "suva-a",
    incarnation: "1",
    balancerLagMs: 2_000,
  };
  const state = createState(node, { seed: 1, now: 0 });
  let now = 0;
  let count = 0;
  const feed = (event: EventBody) => reduce(state, { ...event, at: now });
  const records: LogRecord[] = [
    {
      type: "config",
      basedOn: 0,
      document: createDocument({ groups }),
      author: "bench",
      id: "config",
      level: 1,
    },
  ];
  for (let index = 0; index < groups; index++) {
    const group = `group-${index}`;
    const body = {
      type: "group_form" as const,
      group,
      deployment: "assistant",
      fence: "operator" as const,
    };
    records.push({ ...body, members: membersOf(group), id: group, level: 1 });
  }
  const stored = records.map((record, index) => ({
    offset: index + 1,
    at: 0,
    record,
  }));
  feed({ kind: "log_read", records: stored, head: stored.length, horizon: 1 });
  const names = [...state.targets.keys()];

  function report(name: string): void {
    const target = state.targets.get(name);
    if (target === undefined) return;
    target.members.forEach(({ member: { vm, address } }, index) => {
      const load = {
        running: 10,
        queued: 0,
        stepMs: 20,
        prefillPerMs: 20,
        kvUsedShare: 0.2,
        maxBatch: 64,
      };
      const epoch = target.epoch ?? 0;
      feed({
        kind: "member_reported",
        address,
        status: {
          vm,
          incarnation: vm,
          state: "ready",
          group: name,
          epoch,
          ...(index === 0 && { load }),
        },
      });
    });
  }
  for (const name of names) report(name);

  return {
    state,
    serveRequest() {
      now += 1_000 / REQUESTS_PER_SECOND;
      count += 1;
      const request = `r${count}`;
      report(names[count % names.length] as string);
      const startedAt = performance.now();
      const effects = feed({
        kind: "request_arrived",
        request,
        deployment: "assistant",
        principal: principalOf("tavua", count % TEAMS),
        rank: count % 3 === 0 ? "urgent" : "standard",
        promptTokens: 400,
        maxOutputTokens: 200,
        prefixes: [count % 50, count % 50 + 1_000, count + 10_000],
        idempotent: true,
      });
      const decisionMs = performance.now() - startedAt;
      if (!effects.some(({ kind }) => kind === "send")) {
        throw new Error("Cannot measure: the request did not start");
      }
      for (let token = 0; token < TOKENS; token++) {
        feed({ kind: "attempt_progress", request, attempt: 1, tokens: 1 });
      }
      feed({
        kind: "attempt_ended",
        request,
        attempt: 1,
        outcome: "completed",
        promptTokens: 400,
        cachedTokens: 0,
      });
      return { steps: TOKENS + 2 + MEMBERS_PER_GROUP, decisionMs };
    },
  };
}

interface Cost {
  stepUs: number;
  decisionUs: number;
}

function measureRound(core: BusyCore, minSteps: number): Cost {
  let steps = 0;
  let requests = 0;
  let decisionMs = 0;
  const startedAt = performance.now();
  while (steps < minSteps) {
    const served = core.serveRequest();
    steps += served.steps;
    decisionMs += served.decisionMs;
    requests += 1;
  }
  const totalMs = performance.now() - startedAt;
  return {
    stepUs: totalMs / steps * US_PER_MS,
    decisionUs: decisionMs / requests * US_PER_MS,
  };
}

function bestOf(costs: readonly Cost[]): Cost {
  return {
    stepUs: Math.min(...costs.map(({ stepUs }) => stepUs)),
    decisionUs: Math.min(...costs.map(({ decisionUs }) => decisionUs)),
  };
}

// Rounds alternate between the sizes, so that a busy machine slows both equally; the best round of each counts.
function measureSizes(): { small: Cost; large: Cost } {
  const small = createBusyCore(SMALL_RUNNERS);
  const large = createBusyCore(LARGE_RUNNERS);
  measureRound(small, WARM_UP_STEPS);
  measureRound(large, WARM_UP_STEPS);
  const costs = { small: [] as Cost[], large: [] as Cost[] };
  for (let round = 0; round < ROUNDS; round++) {
    costs.small.push(measureRound(small, STEPS));
    costs.large.push(measureRound(large, STEPS));
  }
  return { small: bestOf(costs.small), large: bestOf(costs.large) };
}

const coreStep: Bench = {
  name: "core_step_us",
  run() {
    const { small, large } = measureSizes();
    const ratio = large.stepUs / small.stepUs;
    const figures: Figure[] = [
      { name: "core_step_us.60_runners", value: small.stepUs, unit: "us" },
      { name: "core_step_us.3100_runners", value: large.stepUs, unit: "us" },
      { name: "core_step_us.ratio", value: ratio, unit: "ratio", atMost: 1.5 },
    ];
    return figures;
  },
};

const policyCost: Bench = {
  name: "policy_cost",
  run() {
    const { small, large } = measureSizes();
    const share = large.decisionUs * REQUESTS_PER_SECOND / US_PER_SECOND;
    return [
      {
        name: "policy_cost.decision_us_3100_runners",
        value: large.decisionUs,
        unit: "us",
      },
      {
        name: "policy_cost.ratio",
        value: large.decisionUs / small.decisionUs,
        unit: "ratio",
        atMost: 1.5,
      },
      {
        name: "policy_cost.share_of_core",
        value: share,
        unit: "share",
        atMost: 0.01,
      },
    ];
  },
};

/** Benches of the cost of steps and decisions. */
export const CORE_BENCHES: readonly Bench[] = [coreStep, policyCost];
