/**
 * Events of the gateway. Times are monotonic milliseconds of the driver's clock.
 *
 * @module
 */
import type { ForwardingEvent } from "../forwarding/event_types.ts";
import type { FailureSide, ForwardRefusal } from "../forwarding/types.ts";
import type {
  HealthStatus,
  OrderOutcome,
  RunnerReport,
} from "../formation/types.ts";
import type { PlacementEvent } from "../placement/event_types.ts";
import type { LogPosition } from "../store_timeline/position.ts";
import type { TimelineEvent } from "../store_timeline/event_types.ts";
import type { ReadSharingEvent } from "../read_sharing/event_types.ts";
import type { Outcome, Verdict } from "../verdict/types.ts";
import type { RoutingDocument, Runner } from "./types.ts";

/** Every event of the gateway, without the time at which it happened. */
export type GatewayEvent =
  | {
    kind: "routing_read";
    document: RoutingDocument;
    /** Undefined where an upstream passed it on. */
    confirmedAt: number | undefined;
  }
  | {
    kind: "runners_read";
    runners: Runner[];
    /** Ids of runners that are no longer listed. */
    removedIds: string[];
    /** Ids among them of runners that the store lists no more, where an upstream says so. */
    departedIds?: string[];
    /** True where `runners` is the complete list, or all that the upstream passes on. */
    isWhole: boolean;
    /** Position in the store up to which changes are known. */
    position: LogPosition;
    /** Undefined where an upstream passed it on. */
    confirmedAt: number | undefined;
  }
  | {
    kind: "freshness_confirmed";
    topic: "routing" | "runners";
    confirmedAt: number;
  }
  | { kind: "clock_jumped"; driftMs: number }
  | {
    kind: "routed_request_arrived";
    request: string;
    host: string;
    path: string;
    key: string | undefined;
    /** Time that the caller will wait, ms. */
    deadlineMs: number | undefined;
    model: string | undefined;
    promptTokens: number;
    maxOutputTokens: number;
    /** The caller's estimate of the output, tokens; undefined where it gives none. */
    expectedOutputTokens?: number | undefined;
    /** Ids of the parts of the prompt that other requests may share, in order. */
    promptParts: readonly string[];
    /** Hash of the content, the same for all copies of the request; undefined where it is not known. */
    fingerprint?: string | undefined;
    /** Id of the last event that the caller already has, where it resumes a stream. */
    lastEvent: string | undefined;
  }
  | { kind: "routed_request_closed"; request: string }
  /** A new connection to a runner was established. */
  | { kind: "runner_connected"; address: string }
  | { kind: "path_probed"; runner: string; isReachable: boolean }
  | ForwardingEvent
  /** The request of an attempt is about to leave on a connection. */
  | { kind: "attempt_sent"; request: string; attempt: number }
  | {
    kind: "response_started";
    request: string;
    attempt: number;
    status: number;
    verdict: Verdict;
    load: { running: number; waiting: number } | undefined;
    /** Requests a second that the runner takes from all daemons together; undefined where it names no limit. */
    requestsPerSecond?: number | undefined;
    /** Time for which the runner wants no more requests of this daemon, ms; undefined where it does not say. */
    backoffMs?: number | undefined;
    /** True where the runner says that it leaves. */
    isLeaving?: boolean | undefined;
  }
  | {
    kind: "response_progressed";
    request: string;
    attempt: number;
    lastEvent: string | undefined;
  }
  | {
    kind: "relay_blocked";
    request: string;
    attempt: number;
    /** True once the caller leaves too much unread; false once it has read on. */
    isBlocked: boolean;
  }
  | {
    kind: "response_ended";
    request: string;
    attempt: number;
    status: number;
    verdict: Verdict;
    /** True where the runner's response may be relayed although it is a failure. */
    isRelayable: boolean;
    /** What told the end of the response's body: its own framing, or the end of its connection alone. */
    endedBy?: "framing" | "connection" | undefined;
  }
  | {
    kind: "response_failed";
    request: string;
    attempt: number;
    outcome: Outcome;
    /** True where the connection was reset, false where it ended in order or nothing is known of it. */
    wasReset?: boolean | undefined;
    /** Where an attempt through a forwarder failed; undefined where it went to the runner directly. */
    side?: FailureSide | undefined;
    /** Why the forwarder refused it, if it did. */
    refusal?: ForwardRefusal | undefined;
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
    status: HealthStatus;
    /** Undefined where the runner did not respond, or its report cannot be read. */
    report: RunnerReport | undefined;
  }
  | { kind: "gateway_stop_ordered" }
  | ReadSharingEvent
  | TimelineEvent
  | PlacementEvent;
