/**
 * Effects that the reducer returns for its driver to carry out.
 *
 * @module
 */
import type { Rank } from "../config/types.ts";
import type {
  FoldDump,
  LogRecord,
  Member,
  StoredResponse,
  UsageCounter,
} from "../fold/types.ts";
import type { GatewayEffect } from "../gateway/effect_types.ts";
import type { QuarantineEffect } from "../quarantine/effect_types.ts";
import type { PeerMessage } from "../peer/types.ts";
import type { Verdict } from "../verdict/types.ts";

/** Stable error codes returned to callers. */
export type RefusalCode =
  | "not_declared"
  | "unknown_route"
  | "unknown_key"
  | "unknown_deployment"
  | "rate_limited"
  | "overloaded"
  | "deadline_passed"
  | "no_capacity"
  | "backend_failed"
  | "stream_lost"
  | "key_in_use"
  | "key_mismatch"
  | "already_ran"
  | "log_unavailable"
  | "not_ready"
  | "prompt_quarantined"
  | "request_quarantined"
  | "stopping";

/** An order to one engine. Orders are idempotent and carry a fencing number; the engine's status confirms them. */
export type EngineOrder =
  | {
    action: "load";
    group: string;
    epoch: number;
    deployment: string;
    members: Member[];
  }
  | { action: "unload"; epoch: number };

/** An effect of the reducer. */
export type Effect =
  | GatewayEffect
  | QuarantineEffect
  | {
    kind: "refuse";
    request: string;
    code: RefusalCode;
    message: string;
    verdict: Verdict;
    retryAfterMs?: number;
    /** True where the caller should connect anew, since any other daemon serves it better. */
    closesConnection?: boolean;
  }
  | {
    kind: "send";
    request: string;
    attempt: number;
    target: string;
    address: string;
    rank: Rank;
    /** Whether the engine should prefer the request over others of its rank. */
    lowUsage: boolean;
    group?: string;
    epoch?: number;
    /** Number of whole tokens that the caller already has. */
    resumeFrom: number;
    remainingMs: number;
  }
  | { kind: "cancel"; request: string; attempt: number }
  | { kind: "finish"; request: string }
  | { kind: "replay"; request: string; response: StoredResponse }
  | { kind: "append"; records: LogRecord[] }
  | { kind: "reload_fold" }
  | { kind: "write_snapshot"; record: SnapshotRecord }
  | { kind: "peer_send"; peer: string; message: PeerMessage }
  | { kind: "watch"; members: WatchedMember[] }
  | {
    kind: "order";
    vm: string;
    address: string;
    /** Fencing number: the grant of the planner's lease. */
    fence: number;
    /** Monotonic time from which on the order must not be sent, ms. */
    validUntil: number;
    order: EngineOrder;
  }
  | { kind: "sign_usage"; sequence: number; counters: UsageCounter[] }
  | { kind: "resync_cache"; target: string; address: string }
  | { kind: "config_in_force"; offset: number }
  | {
    kind: "log";
    event: LogEventName;
    fields: Record<string, string | number | boolean | undefined>;
  }
  | { kind: "observe"; sample: MetricSample }
  | { kind: "exit"; interruptedRequests: number };

/** A snapshot of the folded state, as written to the stream of snapshots. */
export interface SnapshotRecord {
  id: string;
  type: "snapshot";
  state: FoldDump;
}

/** A VM whose status the driver polls. */
export interface WatchedMember {
  vm: string;
  address: string;
}

/** A sample for the metrics. */
export type MetricSample =
  | { kind: "first_token"; rank: Rank; owner: string; ms: number }
  | { kind: "between_tokens"; rank: Rank; owner: string; ms: number }
  | { kind: "queue_wait"; rank: Rank; ms: number }
  | {
    kind: "ended";
    rank: Rank;
    owner: string;
    verdict: Verdict;
    code: string;
  };

/** Name of a log event in the catalogue. */
export type LogEventName = keyof typeof import("./log_events.ts").LOG_EVENTS;
