/**
 * Events of the gateway. Times are monotonic milliseconds of the driver's clock.
 *
 * @module
 */
import type { OrderOutcome, RunnerReport } from "../formation/types.ts";
import type { Outcome, Verdict } from "../verdict/types.ts";
import type { RoutingDocument, Runner } from "./types.ts";

/** Every event of the gateway, without the time at which it happened. */
export type GatewayEvent =
  | { kind: "routing_read"; document: RoutingDocument; provedAt: number }
  | {
    kind: "runners_read";
    runners: Runner[];
    /** Ids of runners that are no longer listed. */
    gone: string[];
    /** True where `runners` is the complete list. */
    isWhole: boolean;
    provedAt: number;
  }
  | { kind: "belief_confirmed"; what: "routing" | "runners"; provedAt: number }
  | { kind: "clock_jumped"; driftMs: number }
  | {
    kind: "delivery_asked";
    request: string;
    host: string;
    path: string;
    key: string | undefined;
    /** Time that the caller will wait, ms. */
    deadlineMs: number | undefined;
    model: string | undefined;
    promptTokens: number;
    maxOutputTokens: number;
    /** Id of the last event that the caller already has, where it resumes a stream. */
    lastEvent: string | undefined;
  }
  | { kind: "delivery_left"; request: string }
  | {
    kind: "reply_began";
    request: string;
    attempt: number;
    status: number;
    verdict: Verdict;
    load: { running: number; waiting: number } | undefined;
  }
  | {
    kind: "reply_progressed";
    request: string;
    attempt: number;
    lastEvent: string | undefined;
  }
  | {
    kind: "reply_ended";
    request: string;
    attempt: number;
    status: number;
    verdict: Verdict;
    /** True where the runner's response may be relayed although it is a failure. */
    relayable: boolean;
  }
  | {
    kind: "reply_failed";
    request: string;
    attempt: number;
    outcome: Outcome;
  }
  | { kind: "leadership_renewed"; isGranted: boolean; sentAt: number }
  | { kind: "term_begun"; term: number | undefined }
  | {
    kind: "order_completed";
    runner: string;
    fence: number;
    outcome: OrderOutcome;
  }
  | {
    kind: "runner_checked";
    runner: string;
    /** True where the runner responded. */
    alive: boolean;
    /** Undefined where the runner did not respond, or its report cannot be read. */
    report: RunnerReport | undefined;
  }
  | { kind: "gateway_stop_ordered" };
