/**
 * A gateway under test: a reducer in virtual time, and runners that carry out orders as engines do.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import type { EventBody } from "../event/types.ts";
import type {
  Membership,
  RunnerOrder,
  RunnerReport,
} from "../formation/types.ts";
import { reduce } from "../reduce.ts";
import { createState } from "../state/create_state.ts";
import type { State } from "../state/types.ts";
import type {
  EngineProfile,
  GatewaySettings,
  Model,
  Route,
  RoutingDocument,
  Runner,
} from "./types.ts";

/** Effects of one kind. */
export type EffectOf<K extends Effect["kind"]> = Extract<Effect, { kind: K }>;

/** A reducer in virtual time. */
export interface Gate {
  state: State;
  /** Everything that was yielded since the start. */
  effects: Effect[];
  /** Feeds an event at the present time and returns what it yielded. */
  feed(event: EventBody): Effect[];
  /** Lets time pass, with ticks every 50 ms. */
  pass(ms: number): Effect[];
}

const TICK_MS = 50;

/** Bounds as on a deployment of today. */
export const BOUNDS: GatewaySettings = {
  revokeMs: 5_000,
  retryRatio: 0.2,
  retrySlack: 109,
  retryWindowMs: 10_000,
  graceMs: 8_000,
  stallMs: 6_000,
  firstStart: false,
};

/** Creates a gateway that knows nothing yet. */
export function createGate(bounds: Partial<GatewaySettings> = {}): Gate {
  const state = createState({
    name: "entry-1",
    zone: "suva-a",
    site: "suva-a",
    incarnation: "i1",
    balancerLagMs: 0,
  }, { seed: 1, now: 0, gateway: { ...BOUNDS, ...bounds } });
  const effects: Effect[] = [];
  let now = 0;
  const feed = (event: EventBody) => {
    const yielded = reduce(state, { ...event, at: now });
    effects.push(...yielded);
    return yielded;
  };
  return {
    state,
    effects,
    feed,
    pass(ms) {
      const yielded: Effect[] = [];
      for (const end = now + ms; now < end;) {
        now = Math.min(end, now + TICK_MS);
        yielded.push(...feed({ kind: "tick" }));
      }
      return yielded;
    },
  };
}

/** Two models as on a deployment of today. */
export const MODELS: Model[] = [
  { name: "large", size: 4, share: 0.5, pace: 1, loadMs: 16_000 },
  { name: "small", size: 2, share: 0.5, pace: 0.6, loadMs: 12_000 },
];

/** Engines as on a deployment of today. */
export const ENGINE: EngineProfile = {
  slots: 12,
  kvTokens: 1_000_000,
  stepMs: 7.8,
  stepMsPerRequest: 0.134,
  stepMsPerThousandTokens: 0.0136,
  prefillTokensPerMs: 45.9,
  stepsPerPass: 5,
  models: MODELS,
  loadsPerSecond: 5,
  loadsAtOnce: 7,
};

/** A route with the given fields changed. */
export function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: "loans",
    host: "a.example",
    prefix: "/loans/",
    kind: "idempotent",
    timeoutMs: 800,
    targetLatencyMs: 300,
    priority: 1,
    backends: [{ service: "desk", weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    ...changes,
  };
}

/** A configuration with the given fields changed. */
export function createDocument(
  changes: Partial<RoutingDocument> = {},
): RoutingDocument {
  return {
    version: 1,
    routes: [
      createRoute(),
      createRoute({ name: "book", prefix: "/book/", kind: "non_idempotent" }),
      createRoute({
        name: "chat",
        prefix: "/chat/",
        kind: "resumable_stream",
        timeoutMs: 8_000,
        targetLatencyMs: 400,
        backends: [{ service: "llm", weight: 1 }],
      }),
    ],
    services: [
      { name: "desk", engine: undefined },
      { name: "llm", engine: ENGINE },
    ],
    teams: [{ name: "team-a", keys: ["key-a"], priority: undefined }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...changes,
  };
}

/** A plain runner with the given fields changed. */
export function createRunner(
  id: string,
  changes: Partial<Runner> = {},
): Runner {
  return {
    id,
    service: "desk",
    address: `10.0.0.1:${8_000}`,
    zone: "suva-a",
    slots: 6,
    state: "ready",
    born: 1,
    domain: undefined,
    staged: [],
    model: undefined,
    membership: undefined,
    ...changes,
  };
}

/** The head of an open group. */
export function createHead(id: string, changes: Partial<Runner> = {}): Runner {
  const membership: Membership = {
    group: `small:1:${id}`,
    epoch: 1,
    rank: 0,
    state: "open",
  };
  return createRunner(id, {
    service: "llm",
    model: "small",
    staged: ["small"],
    domain: "d1",
    membership,
    ...changes,
  });
}

/** Lists runners and a configuration at the present time. */
export function teach(
  gate: Gate,
  { runners = [], document = createDocument() }: {
    runners?: Runner[];
    document?: RoutingDocument;
  } = {},
): void {
  const sentAt = gate.state.now;
  gate.feed({ kind: "routing_read", document, provedAt: sentAt });
  gate.feed({
    kind: "runners_read",
    runners,
    gone: [],
    isWhole: true,
    provedAt: sentAt,
  });
}

/** Asks for a path under a key. */
export function ask(
  gate: Gate,
  request: string,
  { path = "/loans/1", key = "key-a", model, deadlineMs = 1_500 }: {
    path?: string;
    key?: string;
    model?: string;
    deadlineMs?: number;
  } = {},
): Effect[] {
  return gate.feed({
    kind: "delivery_asked",
    request,
    host: "a.example",
    path,
    key,
    deadlineMs,
    model,
    promptTokens: 100,
    maxOutputTokens: 100,
    lastEvent: undefined,
  });
}

/** Returns the effects of one kind. */
export function only<K extends Effect["kind"]>(
  effects: readonly Effect[],
  kind: K,
): EffectOf<K>[] {
  return effects.filter((effect): effect is EffectOf<K> =>
    effect.kind === kind
  );
}

/** Runners that carry out orders. */
export interface Pool {
  runners: Map<string, Runner>;
  /** Work that runners report to status checks. */
  reports: Map<string, RunnerReport>;
  /** Highest fencing number that each runner has seen. */
  fences: Map<string, number>;
  /** Times at which loads began, ms. */
  loads: number[];
  /** Orders whose answer is lost; they are carried out when released. */
  held: { runner: string; fence: number; order: RunnerOrder }[];
  /** True while orders are held back. */
  isHolding: boolean;
  /** What a runner did that it must not, in words. */
  faults: string[];
  /** Takes a runner away for good. */
  kill(id: string, options?: { isListed: boolean }): void;
  /** Lists a new runner. */
  add(runner: Runner): void;
  /** Changes what a runner says of itself. */
  change(id: string, change: Partial<Runner>): void;
  /** Lets time pass: orders are carried out, duty is renewed, status checks are answered. */
  run(ms: number): void;
  /** Carries out the orders that were held back. */
  release(): void;
}

interface Change {
  at: number;
  apply(): void;
}

/** Options of {@link createPool}. */
export interface PoolOptions {
  runners: Runner[];
  /** False where this daemon does not hold the planner's duty. */
  holdsDuty?: () => boolean;
  loadMs?: number;
}

const JOIN_MS = 200;
const REPEAT_MS = 100;

/** Creates runners that carry out the orders of a gateway. */
export function createPool(
  gate: Gate,
  { runners: list, holdsDuty = () => true, loadMs = 1_000 }: PoolOptions,
): Pool {
  const runners = new Map(list.map((runner) => [runner.id, runner]));
  const dead = new Set<string>();
  const changes: Change[] = [];
  const reports = new Map<string, RunnerReport>();
  let term = 0;
  const pool: Pool = {
    runners,
    reports,
    fences: new Map(),
    loads: [],
    held: [],
    isHolding: false,
    faults: [],
    kill(id, { isListed } = { isListed: true }) {
      dead.add(id);
      if (!isListed) unlist(id);
    },
    add(runner) {
      runners.set(runner.id, runner);
      update(runner.id, {});
    },
    change: update,
    run,
    release() {
      for (const { runner, fence, order } of pool.held.splice(0)) {
        carryOut(runner, fence, order);
      }
    },
  };

  function unlist(id: string): void {
    runners.delete(id);
    const sentAt = gate.state.now;
    gate.feed({
      kind: "runners_read",
      runners: [],
      gone: [id],
      isWhole: false,
      provedAt: sentAt,
    });
  }

  function update(id: string, change: Partial<Runner>): void {
    const runner = runners.get(id);
    if (runner === undefined || dead.has(id)) return;
    const next = { ...runner, ...change };
    runners.set(id, next);
    const sentAt = gate.state.now;
    gate.feed({
      kind: "runners_read",
      runners: [next],
      gone: [],
      isWhole: false,
      provedAt: sentAt,
    });
  }

  function headOf({ membership }: Runner): Runner | undefined {
    return [...runners.values()].find((each) =>
      each.membership?.group === membership?.group &&
      each.membership?.rank === 0
    );
  }

  function checkJoin(runner: Runner, group: string): void {
    const { membership } = runner;
    if (membership === undefined || membership.group === group) return;
    const head = headOf(runner);
    if (head === undefined || dead.has(head.id)) return;
    if (head.membership?.state !== "open") return;
    pool.faults.push(`${runner.id} left open ${membership.group} for ${group}`);
  }

  function checkOpen(head: Runner, group: string, epoch: number): void {
    const members = [...runners.values()].filter(({ membership }) =>
      membership?.group === group && membership.epoch === epoch &&
      membership.state === "ready"
    );
    const size = MODELS.find(({ name }) => group.startsWith(`${name}:`))!.size;
    if (members.length === size) return;
    pool.faults.push(`${head.id} opened ${group} with ${members.length}`);
  }

  function carryOut(
    id: string,
    fence: number,
    order: RunnerOrder,
  ): "accepted" | "fenced" | "mismatched" {
    const runner = runners.get(id)!;
    if (fence < (pool.fences.get(id) ?? 0)) return "fenced";
    pool.fences.set(id, fence);
    const { now } = gate.state;
    if (order.action === "stage") {
      pool.loads.push(now);
      const apply = () => update(id, { staged: [order.model] });
      changes.push({ at: now + loadMs, apply });
      return "accepted";
    }
    const { group, epoch } = order;
    if (order.action === "join") {
      checkJoin(runner, group);
      const rank = order.members.indexOf(id);
      const place = { group, epoch, rank };
      update(id, { membership: { ...place, state: "joining" } });
      changes.push({
        at: now + JOIN_MS,
        apply() {
          const current = runners.get(id)?.membership;
          if (current?.group !== group || current.epoch !== epoch) return;
          update(id, {
            model: order.model,
            membership: { ...place, state: "ready" },
          });
        },
      });
      return "accepted";
    }
    const { membership } = runner;
    if (membership?.group !== group || membership.epoch !== epoch) {
      return "mismatched";
    }
    if (order.action === "leave") update(id, { membership: undefined });
    if (order.action === "close") {
      update(id, { membership: { ...membership, state: "ready" } });
    }
    if (order.action === "open") {
      checkOpen(runner, group, epoch);
      update(id, { membership: { ...membership, state: "open" } });
    }
    return "accepted";
  }

  function answer(effect: Effect): void {
    if (effect.kind === "begin_term") {
      term += 1;
      gate.feed({ kind: "term_begun", term });
    }
    if (effect.kind === "probe_runner") {
      const { runner } = effect;
      const alive = !dead.has(runner);
      const report = alive ? reports.get(runner) : undefined;
      gate.feed({ kind: "runner_probed", runner, alive, report });
    }
    if (effect.kind !== "order_runner") return;
    const { runner, fence, order } = effect;
    if (pool.isHolding || dead.has(runner)) {
      if (!dead.has(runner)) pool.held.push({ runner, fence, order });
      gate.feed({ kind: "order_settled", runner, fence, outcome: "unknown" });
      return;
    }
    const outcome = carryOut(runner, fence, order);
    gate.feed({ kind: "order_settled", runner, fence, outcome });
  }

  function run(ms: number): void {
    for (const end = gate.state.now + ms; gate.state.now < end;) {
      const sentAt = gate.state.now;
      if (Math.round(sentAt / TICK_MS) % (REPEAT_MS / TICK_MS) === 0) {
        gate.feed({ kind: "duty_renewed", held: holdsDuty(), sentAt });
        gate.feed({
          kind: "belief_confirmed",
          what: "routing",
          provedAt: sentAt,
        });
      }
      const from = gate.effects.length;
      gate.pass(TICK_MS);
      for (let index = from; index < gate.effects.length; index += 1) {
        answer(gate.effects[index]!);
      }
      const due = changes.filter(({ at }) => at <= gate.state.now);
      for (const change of due) {
        changes.splice(changes.indexOf(change), 1);
        change.apply();
      }
    }
  }
  return pool;
}

/** Empty runners of one fabric domain. */
export function createDomain(domain: string, count: number): Runner[] {
  return Array.from(
    { length: count },
    (_, index) =>
      createRunner(`${domain}-${index}`, { service: "llm", domain }),
  );
}

/** Names of the groups that are open. */
export function openGroups({ runners }: Pool): string[] {
  return [...runners.values()].flatMap(({ membership }) =>
    membership?.state === "open" ? [membership.group] : []
  );
}
