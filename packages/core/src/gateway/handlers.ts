/**
 * Handlers of the gateway's events.
 *
 * @module
 */
import { beginTerm, renewLeadership } from "../formation/leadership.ts";
import { completeOrder } from "../formation/orders.ts";
import { recordHealthCheck } from "../formation/health_checks.ts";
import { askDelivery } from "./arrive.ts";
import { leaveDelivery } from "./finish.ts";
import { beginReply, endReply, failReply, passEvents } from "./reply.ts";
import { stopGateway } from "./gateway.ts";
import {
  confirmBelief,
  distrustAll,
  readRouting,
  readRunners,
} from "./runners.ts";

/** Handlers of the gateway's events by event kind. */
export const GATEWAY_HANDLERS = {
  routing_read: readRouting,
  runners_read: readRunners,
  belief_confirmed: confirmBelief,
  clock_jumped: distrustAll,
  delivery_asked: askDelivery,
  delivery_left: leaveDelivery,
  reply_began: beginReply,
  reply_progressed: passEvents,
  reply_ended: endReply,
  reply_failed: failReply,
  leadership_renewed: renewLeadership,
  term_begun: beginTerm,
  order_completed: completeOrder,
  runner_checked: recordHealthCheck,
  gateway_stop_ordered: stopGateway,
};
