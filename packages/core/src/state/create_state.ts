/**
 * Creates the reducer's state and its pools.
 *
 * @module
 */
import { createCatchUp } from "../catch_up/mod.ts";
import { createFairNode } from "../admission/fair_queue.ts";
import { createBatchModel } from "../capacity/batch_model.ts";
import type { Deployment } from "../config/types.ts";
import { createFoldState } from "../fold/fold_state.ts";
import { createGateway } from "../gateway/gateway.ts";
import type { GatewaySettings } from "../gateway/types.ts";
import { perRank, type Request } from "../request/types.ts";
import { createQuarantine } from "../quarantine/mod.ts";
import { createPrefixIndex } from "../routing/prefix_index.ts";
import { createRandomSet } from "../routing/random_set.ts";
import { createLedger } from "../usage/ledger.ts";
import { createAverage, createRate } from "../util/ewma.ts";
import { hashFraction } from "../util/hash.ts";
import { createRandom } from "../util/random.ts";
import { createTimerQueue, schedule } from "../util/timer_queue.ts";
import type { Node, Pool, State } from "./types.ts";

const INITIAL_MODEL_HOLD_MS = 4_000;
const INITIAL_SERVICE_HOLD_MS = 50;
const INITIAL_OUTPUT_TOKENS = 200;

/** Options of {@link createState}. */
export interface StateOptions {
  /** Seed of every random choice. */
  seed: number;
  /** Start time, monotonic ms. */
  now: number;
  /** Present if the daemon routes by host and path to a shared fleet. */
  gateway?: GatewaySettings;
}

/**
 * Creates the state of a daemon that has just started.
 *
 * @example
 * ```ts
 * const node = { name: "entry-1", zone: "suva-a", site: "suva-a", incarnation: "i1", balancerLagMs: 2_000 };
 * const state = createState(node, { seed: 1, now: 0 });
 * const effects = reduce(state, { kind: "config_loaded", document, at: 0 });
 * ```
 */
export function createState(
  node: Node,
  { seed, now, gateway }: StateOptions,
): State {
  const timers = createTimerQueue();
  if (gateway === undefined) {
    schedule(timers, now, { timer: { kind: "housekeeping" } });
    schedule(timers, now, { timer: { kind: "peer_digest" } });
  } else {
    schedule(timers, now, { timer: { kind: "gateway_sweep" } });
  }
  return {
    gateway: gateway && createGateway(gateway, {
      zone: node.zone,
      now,
      patience: hashFraction(node.incarnation),
    }),
    node,
    now,
    lateMs: 0,
    catchUp: createCatchUp(),
    random: createRandom(seed),
    timers,
    phase: "serving",
    drainingSince: 0,
    drainFlushed: false,
    ready: false,
    config: undefined,
    acceptedConfig: undefined,
    fold: createFoldState(),
    caughtUp: false,
    log: {
      reachable: true,
      lastReadAt: now,
      head: 0,
      nextId: 1,
      pending: new Map(),
      inFlight: new Set(),
      stored: new Set(),
      claimEnds: new Map(),
      retryAt: now,
    },
    quarantine: createQuarantine(now),
    requests: new Map(),
    pools: new Map(),
    targets: new Map(),
    targetNameByAddress: new Map(),
    leaving: new Map(),
    vms: new Map(),
    peers: new Map(),
    buckets: new Map(),
    waiters: new Map(),
    pendingClaims: new Map(),
    leases: new Map(),
    planners: new Map(),
    vmHealth: new Map(),
    digestSequence: 0,
    lastDigest: { at: -Infinity, text: "" },
    usage: createLedger(),
    snapshot: { next: 0, at: now },
  };
}

/** Creates the pool of a deployment. */
export function createPool(
  name: string,
  deployment: Deployment,
  { now }: { now: number },
): Pool {
  const holdMs = deployment.kind === "model"
    ? INITIAL_MODEL_HOLD_MS
    : INITIAL_SERVICE_HOLD_MS;
  const queue = () => createFairNode<Request>("");
  const rate = () => createRate(now);
  const hold = () => createAverage(holdMs);
  const output = () => createAverage(INITIAL_OUTPUT_TOKENS);
  return {
    name,
    deployment,
    queues: { urgent: queue(), standard: queue(), batch: queue() },
    resumptions: [],
    unitCost: createAverage(1),
    floorCredit: perRank(0),
    ownerUse: new Map(),
    ownerDemand: new Map(),
    callerUse: new Map(),
    totalUse: rate(),
    heaviestUse: 0,
    holdMs: { urgent: hold(), standard: hold(), batch: hold() },
    outputTokens: { urgent: output(), standard: output(), batch: output() },
    arrivals: { urgent: rate(), standard: rate(), batch: rate() },
    firstAttempts: rate(),
    retries: rate(),
    model: createBatchModel(),
    slots: 0,
    share: { low: 0, high: 1 },
    targets: new Set(),
    freeTargets: createRandomSet(),
    lastServingAt: now,
    servingTargets: createRandomSet(),
    overdrawn: 0,
    ejected: 0,
    prefixes: createPrefixIndex(),
    preemptedAt: 0,
    preemptCheckAt: 0,
    runningBatch: new Set(),
  };
}
