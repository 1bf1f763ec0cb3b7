/**
 * Handlers of the gateway's events.
 *
 * @module
 */
import { recordColdReport } from "../cold_start/mod.ts";
import type { EventOf } from "../event/types.ts";
import {
  admitForward,
  endForward,
  recordForwardAnswer,
  recordUnconnected,
} from "../forwarding/admission.ts";
import { recordHealthCheck } from "../formation/health_checks.ts";
import { beginTerm, renewLeadership } from "../formation/leadership.ts";
import { completeOrder } from "../formation/orders.ts";
import { applyEvacuationChanges, applyEvacuations } from "../placement/mod.ts";
import { recordFleet } from "../pacing/mod.ts";
import { confirmCrash, dismissCuts } from "../quarantine/mod.ts";
import type { Effects } from "../reduce_types.ts";
import {
  isOwnFault,
  recordConnection,
  recordProbe,
} from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import { applyFloors, applyTimeline } from "../store_timeline/handlers.ts";
import { admitRequest } from "./admit.ts";
import { closeRequest } from "./finish.ts";
import { answerPoll, removeFollower } from "../read_sharing/publish.ts";
import { applyLimits } from "../read_sharing/limits.ts";
import { applySuspects } from "../read_sharing/suspects.ts";
import { applyDaemons } from "../read_sharing/daemon_list.ts";
import {
  acceptUpstream,
  confirmUpstream,
  loseUpstream,
} from "../read_sharing/upstream.ts";
import { stopGateway } from "./gateway.ts";
import {
  endResponse,
  failResponse,
  recordBlocked,
  recordProgress,
  recordSend,
  startResponse,
} from "./response.ts";
import { applyRouting, confirmFreshness, invalidateAll } from "./routing.ts";
import { applyRunners } from "./runners.ts";

/** Handlers of the gateway's events by event kind. */
export const GATEWAY_HANDLERS = {
  routing_read: applyRouting,
  runners_read: applyRunners,
  freshness_confirmed: confirmFreshness,
  clock_jumped: invalidateAll,
  routed_request_arrived: admitRequest,
  routed_request_closed: closeRequest,
  runner_connected: recordConnection,
  path_probed: recordProbe,
  forward_arrived: admitForward,
  forward_unconnected: recordUnconnected,
  forward_answered: recordForwardAnswer,
  forward_ended: endForward,
  attempt_sent: recordSend,
  response_started: startResponse,
  response_progressed: recordProgress,
  relay_blocked: recordBlocked,
  response_ended: endResponse,
  response_failed: failResponse,
  leadership_renewed: renewLeadership,
  term_begun: beginTerm,
  order_completed: completeOrder,
  *runner_checked(state: State, event: EventOf<"runner_checked">): Effects {
    const isProof = event.status === "refused" &&
      !isOwnFault(state.gateway!, event.runner);
    if (isProof) yield* confirmCrash(state, event.runner);
    if (event.status === "alive") dismissCuts(state, event.runner);
    yield* recordColdReport(state, event);
    yield* recordHealthCheck(state, event);
  },
  gateway_stop_ordered: stopGateway,
  *daemons_read(state: State, event: EventOf<"daemons_read">): Effects {
    yield* applyDaemons(state, event);
    recordFleet(state, event);
  },
  upstream_began: acceptUpstream,
  upstream_answered: confirmUpstream,
  upstream_lost: loseUpstream,
  follower_polled: answerPoll,
  follower_left: removeFollower,
  suspects_reported: applySuspects,
  limits_reported: applyLimits,
  timeline_seen: applyTimeline,
  floors_read: applyFloors,
  evacuations_read: applyEvacuations,
  evacuations_changed: applyEvacuationChanges,
};
