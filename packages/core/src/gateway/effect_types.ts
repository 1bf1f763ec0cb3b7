/**
 * Effects of the gateway.
 *
 * @module
 */
import type { ForwardingEffect } from "../forwarding/effect_types.ts";
import type { Forwarder } from "../forwarding/types.ts";
import type { FirstEventTimes } from "../load/types.ts";
import type { RunnerOrder } from "../formation/types.ts";
import type { TimelineEffect } from "../store_timeline/effect_types.ts";
import type { ReadSharingEffect } from "../read_sharing/effect_types.ts";
import type { CallerLimits } from "./types.ts";

/** Every effect of the gateway. */
export type GatewayEffect =
  | {
    kind: "send_to_runner";
    request: string;
    attempt: number;
    runner: string;
    /** `IP:PORT`. */
    address: string;
    remainingMs: number;
    /** 0 to 9, where 0 is the most urgent. */
    urgency: number;
    /** Name of the team that the caller's key belongs to. */
    team: string | undefined;
    /** Id of the last event that the caller already has. */
    resumeAfter: string | undefined;
    isRepeatable: boolean;
    isStream: boolean;
    /** True where the request is a trial of a quarantined part of its prompt. */
    isTrial: boolean;
    /** True where another attempt of the request is in flight, and the first answer of the two wins. */
    isHedge: boolean;
    /** The daemon through which it is sent; undefined where it goes to the runner directly. */
    forwarder: Forwarder | undefined;
  }
  /** Relays the response of an attempt to the caller. */
  | { kind: "relay"; request: string; attempt: number }
  /** Reports that a stream's first event was relayed `ms` after the request arrived. */
  | {
    kind: "first_event";
    priority: number;
    ms: number;
    /** Undefined for services whose load is not shared. */
    attemptTimes: FirstEventTimes | undefined;
  }
  | { kind: "begin_term" }
  | {
    kind: "order_runner";
    runner: string;
    address: string;
    fence: number;
    /** Monotonic time from which on the order must not be sent any more, ms. */
    validUntil: number;
    order: RunnerOrder;
  }
  | { kind: "check_runner"; runner: string; address: string }
  | { kind: "limits_in_force"; limits: CallerLimits }
  /** Opens a connection to a runner, to see whether this daemon reaches it. */
  | { kind: "probe_path"; runner: string; address: string }
  | ForwardingEffect
  | ReadSharingEffect
  | TimelineEffect;
