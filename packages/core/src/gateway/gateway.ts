/**
 * Creates the gateway and decides its readiness, its periodic work and its graceful stop.
 *
 * @module
 */
import { createAdmission } from "../admission/waiting_queue.ts";
import { sweepColdRunners } from "../cold_start/mod.ts";
import { advanceNode } from "../drain/drain.ts";
import type { EventOf } from "../event/types.ts";
import {
  createForwarding,
  isStranded,
  pruneForwarders,
  recordLateness,
} from "../forwarding/mod.ts";
import { createGroupPlanner } from "../formation/leadership.ts";
import { planGroups } from "../formation/plan.ts";
import { createPlacement, sweepEvacuations } from "../placement/mod.ts";
import { createPacing } from "../pacing/mod.ts";
import { pruneSuspects } from "../quarantine/mod.ts";
import { createLoadSharing } from "../load/runner_loads.ts";
import { passOnLimits } from "../read_sharing/limits.ts";
import { passOnSuspects } from "../read_sharing/suspects.ts";
import { createReadSharing } from "../read_sharing/create_read_sharing.ts";
import { updateSource } from "../read_sharing/upstream.ts";
import { createHedgingState } from "../hedging/mod.ts";
import type { Effects } from "../reduce_types.ts";
import { probeLostPaths, pruneServicePaths } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import { sweepTimeline } from "../store_timeline/handlers.ts";
import { createStoreTimeline } from "../store_timeline/timeline.ts";
import { createAverage } from "../util/ewma.ts";
import {
  MIN_RETRY_DAEMONS,
  ROTATION_AGE_SHARE,
  STOP_LISTEN_MS,
  STOP_MARGIN_MS,
  WORK_SHARE_INTERVAL_MS,
} from "./constants.ts";
import { failRequest } from "./finish.ts";
import { createFreshness } from "./freshness.ts";
import { hasFreshKeys } from "./lookup.ts";
import { recordWorkShare } from "./occupancy.ts";
import { sweepRequests } from "./sweep.ts";
import { scheduleSweep } from "./sweep_schedule.ts";
import type { Gateway, GatewaySettings } from "./types.ts";

/** Creates a gateway without configuration and runners. */
export function createGateway(
  settings: GatewaySettings,
  { zone, now, patience }: { zone: string; now: number; patience: number },
): Gateway {
  return {
    zone,
    routing: undefined,
    routingFreshness: createFreshness(),
    runnersFreshness: createFreshness(),
    runners: new Map(),
    runnerIndex: new Map(),
    nextSweepAt: now,
    lastRunnerAddedAt: now,
    runnerStats: new Map(),
    unlistedMembers: new Map(),
    leavingRunners: new Map(),
    unreachableRunners: new Set(),
    servicePaths: new Map(),
    coldRunners: new Map(),
    pacing: createPacing(),
    forwarding: createForwarding(),
    placement: createPlacement(),
    requests: new Map(),
    waitingRequests: new Map(),
    admission: createAdmission(),
    retryBudgets: new Map(),
    hedging: createHedgingState(),
    meanLoads: new Map(),
    loadSharing: createLoadSharing(now),
    servingCount: 0,
    workShare: createAverage(1 / MIN_RETRY_DAEMONS),
    workShareMeasuredAt: now,
    groupPlanner: createGroupPlanner(now),
    readSharing: createReadSharing(settings.self, { now, patience }),
    storeTimeline: createStoreTimeline(),
    settings,
    stoppingSince: 0,
    graceEndsAt: Infinity,
  };
}

/** True while the balancer should send new connections to this daemon. */
export function isGatewayReady(state: State, now: number): boolean {
  const { gateway, phase } = state;
  if (gateway === undefined || phase !== "serving") return false;
  return gateway.routing !== undefined &&
    gateway.runnersFreshness.confirmedAt !== undefined &&
    hasFreshKeys(gateway, now, { share: ROTATION_AGE_SHARE }) &&
    !isStranded(state);
}

/** Handles the periodic sweep: requests, this daemon's share of the work, replica groups and a pending stop. */
export function* sweepGateway(state: State): Effects {
  const gateway = state.gateway!;
  // A sooner sweep has taken the place of this one.
  if (state.now < gateway.nextSweepAt) return;
  recordLateness(gateway, state.now - gateway.nextSweepAt);
  yield* sweepColdRunners(state);
  yield* sweepRequests(state, gateway);
  if (state.now - gateway.workShareMeasuredAt >= WORK_SHARE_INTERVAL_MS) {
    gateway.workShareMeasuredAt = state.now;
    recordWorkShare(gateway, state.now);
  }
  pruneServicePaths(state);
  yield* probeLostPaths(state);
  pruneForwarders(gateway);
  yield* updateSource(state);
  yield* sweepTimeline(state);
  yield* sweepEvacuations(state);
  yield* passOnSuspects(state);
  yield* passOnLimits(state);
  yield* pruneSuspects(state);
  if (state.phase === "serving") yield* planGroups(state);
  else yield* checkStop(state, gateway);
  scheduleSweep(state);
}

/** Handles a stop signal. */
export function* stopGateway(
  state: State,
  _event: EventOf<"gateway_stop_ordered">,
): Effects {
  const gateway = state.gateway!;
  if (!advanceNode(state, "drain")) return;
  gateway.stoppingSince = state.now;
  // The signal may have waited for as long as the event loop was late.
  gateway.graceEndsAt = state.now - state.lateMs + gateway.settings.graceMs;
  yield {
    kind: "log",
    event: "stopping",
    fields: { requests: gateway.requests.size },
  };
}

function* checkStop(state: State, gateway: Gateway): Effects {
  if (state.phase === "stopped") return;
  const elapsed = state.now - gateway.stoppingSince;
  const isOver = state.now >= gateway.graceEndsAt - STOP_MARGIN_MS;
  if (elapsed < STOP_LISTEN_MS && !isOver) return;
  const isIdle = gateway.requests.size + gateway.forwarding.inFlight.size +
      state.catchUp.deferred.length === 0;
  if (!isIdle && !isOver) return;
  const cut = gateway.requests.size;
  for (const request of [...gateway.requests.values()]) {
    yield* failRequest(state, gateway, request, {
      code: "stopping",
      message: "This entry VM is stopping",
      retryAfterMs: 0,
    });
  }
  advanceNode(state, "finish");
  yield { kind: "log", event: "stopped", fields: { cut } };
  yield { kind: "exit", interruptedRequests: cut };
}
