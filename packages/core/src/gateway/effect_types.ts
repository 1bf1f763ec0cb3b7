/**
 * Effects of the gateway.
 *
 * @module
 */
import type { RunnerOrder } from "../formation/types.ts";
import type { CallerLimits } from "./types.ts";

/** Every effect of the gateway. */
export type GatewayEffect =
  | {
    kind: "try_runner";
    request: string;
    attempt: number;
    runner: string;
    /** `IP:PORT`. */
    address: string;
    remainingMs: number;
    /** 0 to 9, where 0 is first. */
    urgency: number;
    /** Team of the caller's key. */
    team: string | undefined;
    /** Last event that the caller has. */
    resumeAfter: string | undefined;
    isRepeatable: boolean;
    isStream: boolean;
  }
  /** Passes the reply of a try on to the caller. */
  | { kind: "relay"; request: string; attempt: number }
  /** A stream's first event reached its caller `ms` after the arrival. */
  | { kind: "first_event"; priority: number; ms: number }
  | { kind: "begin_term" }
  | {
    kind: "order_runner";
    runner: string;
    address: string;
    fence: number;
    /** The order must not leave at or after this monotonic time, ms. */
    validUntil: number;
    order: RunnerOrder;
  }
  | { kind: "check_runner"; runner: string; address: string }
  | { kind: "limits_in_force"; limits: CallerLimits };
