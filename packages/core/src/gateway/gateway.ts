/**
 * Creates the gateway and decides its readiness, its periodic work and its graceful stop.
 *
 * @module
 */
import { advanceNode } from "../drain/drain.ts";
import type { EventOf } from "../event/types.ts";
import { createGroupPlanner } from "../formation/leadership.ts";
import { planGroups } from "../formation/plan.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { createAverage } from "../util/ewma.ts";
import { schedule } from "../util/timer_queue.ts";
import { createBelief } from "./belief.ts";
import {
  RETRY_SHARERS,
  ROTATION_SHARE,
  STOP_LISTEN_MS,
  STOP_MARGIN_MS,
  SWEEP_MS,
  WORK_SHARE_MS,
} from "./constants.ts";
import { giveUp } from "./finish.ts";
import { noteWorkShare } from "./occupancy.ts";
import { trustsKeys } from "./lookup.ts";
import { sweepDeliveries } from "./sweep.ts";
import type { Gateway, GatewaySettings } from "./types.ts";

/** Creates a gateway without configuration and runners. */
export function createGateway(
  settings: GatewaySettings,
  { zone, now }: { zone: string; now: number },
): Gateway {
  return {
    zone,
    routing: undefined,
    routingBelief: createBelief(),
    runnerBelief: createBelief(),
    runners: new Map(),
    takers: new Map(),
    runnersGrewAt: now,
    targets: new Map(),
    deliveries: new Map(),
    waiting: new Map(),
    retryBudgets: new Map(),
    meanLoads: new Map(),
    workShare: createAverage(1 / RETRY_SHARERS),
    workShareAt: now,
    groupPlanner: createGroupPlanner(now),
    settings,
    stoppingSince: 0,
  };
}

/** True while the balancer should send new connections to this daemon. */
export function isGatewayReady(
  { gateway, phase }: State,
  now: number,
): boolean {
  if (gateway === undefined || phase !== "serving") return false;
  return gateway.routing !== undefined &&
    gateway.runnerBelief.provedAt !== undefined &&
    trustsKeys(gateway, now, { share: ROTATION_SHARE });
}

/** Handles the periodic sweep: requests, this daemon's share of the work, replica groups and a pending stop. */
export function* tendGateway(state: State): Effects {
  const gateway = state.gateway!;
  schedule(state.timers, state.now + SWEEP_MS, {
    timer: { kind: "gateway_sweep" },
  });
  yield* sweepDeliveries(state, gateway);
  if (state.now - gateway.workShareAt >= WORK_SHARE_MS) {
    gateway.workShareAt = state.now;
    noteWorkShare(gateway, state.now);
  }
  if (state.phase !== "serving") return yield* checkStop(state, gateway);
  yield* planGroups(state);
}

/** Handles a stop signal. */
export function* stopGateway(
  state: State,
  _event: EventOf<"gateway_stop_ordered">,
): Effects {
  const gateway = state.gateway!;
  if (!advanceNode(state, "drain")) return;
  gateway.stoppingSince = state.now;
  yield {
    kind: "log",
    event: "stopping",
    fields: { requests: gateway.deliveries.size },
  };
}

function* checkStop(state: State, gateway: Gateway): Effects {
  if (state.phase === "stopped") return;
  const elapsed = state.now - gateway.stoppingSince;
  const limit = gateway.settings.graceMs - STOP_MARGIN_MS;
  if (elapsed < STOP_LISTEN_MS) return;
  if (gateway.deliveries.size > 0 && elapsed < limit) return;
  const cut = gateway.deliveries.size;
  for (const delivery of [...gateway.deliveries.values()]) {
    yield* giveUp(state, gateway, delivery, {
      code: "stopping",
      message: "This entry VM stops",
      retryAfterMs: 0,
    });
  }
  advanceNode(state, "finish");
  yield { kind: "log", event: "stopped", fields: { cut } };
  yield { kind: "exit", interruptedRequests: cut };
}
