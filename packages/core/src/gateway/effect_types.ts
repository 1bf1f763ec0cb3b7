/**
 * Effects of the gateway.
 *
 * @module
 */
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
  }
  /** Relays the response of an attempt to the caller. */
  | { kind: "relay"; request: string; attempt: number }
  /** Reports that a stream's first event was relayed `ms` after the request arrived. */
  | { kind: "first_event"; priority: number; ms: number }
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
  | ReadSharingEffect
  | TimelineEffect;
