/**
 * Creates gateways, configurations and runners for tests; the reducer runs in virtual time.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import type { EventBody } from "../event/types.ts";
import type { Membership } from "../formation/types.ts";
import { readTimesOf } from "../read_sharing/read_times.ts";
import { reduce } from "../reduce.ts";
import { createState } from "../state/create_state.ts";
import type { State } from "../state/types.ts";
import type { Outcome } from "../verdict/types.ts";
import { retryBudgetOf } from "./retry_allowance.ts";
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

/** A gateway under test: a reducer in virtual time. */
export interface GatewayHarness {
  state: State;
  /** All effects since the start. */
  effects: Effect[];
  /** Handles an event at the current time and returns its effects. */
  feed(event: EventBody): Effect[];
  /** Advances the time, with a tick every 50 ms, and returns the effects. */
  advance(ms: number): Effect[];
}

/** Time between two ticks, ms. */
export const TICK_MS = 50;

/** Settings as in a current deployment. */
export const SETTINGS: GatewaySettings = {
  revokeMs: 5_000,
  configApplyMs: 2_000,
  readTimes: readTimesOf({
    configApplyMs: 2_000,
    drainMs: 2_000,
    routingWaitMs: 1_000,
    runnersWaitMs: 1_500,
  }),
  retryRatio: 0.2,
  retrySlack: 109,
  retryWindowMs: 10_000,
  graceMs: 8_000,
  stallMs: 6_000,
  coldOverage: 1.5,
  coldSlack: 5,
  evacuateMs: 5_000,
  regions: {},
  firstStart: false,
  self: undefined,
};

/** Options of {@link createHarness}. */
export interface HarnessOptions {
  /** True where requests leave at once. */
  canConnect?: boolean;
  seed?: number;
  /** Retries that each service's budget holds at the start, as after some time without a failure. */
  retries?: number;
}

/** Creates a gateway under test without configuration and runners. */
export function createHarness(
  settings: Partial<GatewaySettings> = {},
  { canConnect = true, seed = 1, retries = 5 }: HarnessOptions = {},
): GatewayHarness {
  const state = createState({
    name: "entry-1",
    zone: "suva-a",
    site: "suva-a",
    incarnation: "i1",
    balancerLagMs: 0,
  }, { seed, now: 0, gateway: { ...SETTINGS, ...settings } });
  for (const service of ["desk", "llm"]) {
    retryBudgetOf(state.gateway!, service).level = retries;
  }
  const effects: Effect[] = [];
  let now = 0;
  const feed = (event: EventBody) => {
    const yielded = reduce(state, { ...event, at: now });
    effects.push(...yielded);
    for (const { request, attempt } of effectsOf(yielded, "send_to_runner")) {
      if (!canConnect) continue;
      reduce(state, { kind: "attempt_sent", request, attempt, at: now });
    }
    return yielded;
  };
  return {
    state,
    effects,
    feed,
    advance(ms) {
      const yielded: Effect[] = [];
      for (const end = now + ms; now < end;) {
        now = Math.min(end, now + TICK_MS);
        yielded.push(...feed({ kind: "tick" }));
      }
      return yielded;
    },
  };
}

/** Two models as in a current deployment. */
export const MODELS: Model[] = [
  { name: "large", size: 4, share: 0.5, pace: 1, loadMs: 16_000 },
  { name: "small", size: 2, share: 0.5, pace: 0.6, loadMs: 12_000 },
];

/** Engines as in a current deployment. */
export const ENGINE: EngineProfile = {
  slots: 12,
  kvTokens: 1_000_000,
  models: MODELS,
  loadsPerSecond: 5,
  loadsAtOnce: 7,
};

/** Creates a route with the given fields changed. */
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

/** Creates a configuration with the given fields changed. */
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

/** Creates a runner of a plain service with the given fields changed. */
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
    startedUnixMs: 1,
    domain: undefined,
    staged: [],
    model: undefined,
    membership: undefined,
    ...changes,
  };
}

/** Creates the head of an open group, with the given fields changed. */
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

/** Publishes a list of runners and a configuration at the current time. */
export function publish(
  harness: GatewayHarness,
  { runners = [], document = createDocument() }: {
    runners?: Runner[];
    document?: RoutingDocument;
  } = {},
): void {
  const sentAt = harness.state.now;
  harness.feed({ kind: "routing_read", document, confirmedAt: sentAt });
  harness.feed({
    kind: "runners_read",
    runners,
    removedIds: [],
    isWhole: true,
    position: { timeline: 1, offset: 0 },
    confirmedAt: sentAt,
  });
}

/** Sends a caller's request for a path with a key and returns the effects. */
export function sendRequest(
  harness: GatewayHarness,
  request: string,
  {
    path = "/loans/1",
    key = "key-a",
    model,
    deadlineMs = 1_500,
    promptParts = [],
    fingerprint,
  }: {
    path?: string;
    key?: string;
    model?: string;
    deadlineMs?: number;
    promptParts?: readonly string[];
    fingerprint?: string | undefined;
  } = {},
): Effect[] {
  return harness.feed({
    kind: "routed_request_arrived",
    request,
    host: "a.example",
    path,
    key,
    deadlineMs,
    model,
    promptTokens: 100,
    maxOutputTokens: 100,
    promptParts,
    fingerprint,
    lastEvent: undefined,
  });
}

/** Returns the effects of one kind. */
export function effectsOf<K extends Effect["kind"]>(
  effects: readonly Effect[],
  kind: K,
): EffectOf<K>[] {
  return effects.filter((effect): effect is EffectOf<K> =>
    effect.kind === kind
  );
}

/** Creates runners without a group in one fabric domain. */
export function createDomain(domain: string, count: number): Runner[] {
  return Array.from(
    { length: count },
    (_, index) =>
      createRunner(`${domain}-${index}`, { service: "llm", domain }),
  );
}

/** Fails an attempt and returns the effects. */
export function failAttempt(
  harness: GatewayHarness,
  request: string,
  { attempt = 1, outcome }: { attempt?: number; outcome: Outcome },
): Effect[] {
  return harness.feed({ kind: "response_failed", request, attempt, outcome });
}

/** Returns the first refusal among effects. */
export function refusalOf(
  effects: readonly Effect[],
): EffectOf<"refuse"> | undefined {
  return effectsOf(effects, "refuse")[0];
}
