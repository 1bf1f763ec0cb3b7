/**
 * Events that the reducer handles. Times are monotonic milliseconds of the driver's clock.
 *
 * @module
 */
import type { CatchUpEvent } from "../catch_up/event_types.ts";
import type { ConfigDocument, Principal, Rank } from "../config/types.ts";
import type { FoldDump, StoredRecord, UsageCounter } from "../fold/types.ts";
import type { PeerMessage } from "../peer/types.ts";
import type { VmListing } from "../vm/types.ts";
import type { Outcome } from "../verdict/types.ts";
import type { StoredResponse } from "../fold/types.ts";
import type { GatewayEvent } from "../gateway/event_types.ts";
import type { QuarantineEvent } from "../quarantine/event_types.ts";

/** A caller's request without its body, which stays in the adapter that received it. */
export interface Arrival {
  request: string;
  deployment: string;
  principal: Principal;
  rank: Rank;
  /** Milliseconds from arrival until the caller gives up. */
  deadlineMs?: number;
  promptTokens: number;
  /** Largest number of output tokens that the caller allows. */
  maxOutputTokens: number;
  prefixes: readonly number[];
  /** Ids of the parts of the prompt that other requests may share, in order; absent where the request has no prompt. */
  promptParts?: readonly string[];
  /** Hash of the content, the same for all copies of the request; absent where it is not known. */
  fingerprint?: string;
  idempotent: boolean;
  key?: string;
  /** Hash of method, path and body; requests with the same key must have the same digest. */
  digest?: string;
  /** Model adapter that the engine must have loaded. */
  adapter?: string;
}

/** Status that an engine or service reports when polled. */
export interface MemberStatus {
  vm: string;
  incarnation: string;
  state: "empty" | "loading" | "ready" | "leaving";
  group?: string;
  epoch?: number;
  fence?: number;
  load?: LoadReport;
}

/** Load that an engine or service reports; lags behind its actual load. */
export interface LoadReport {
  running: number;
  queued: number;
  /** 95th percentile of the time between tokens, ms. */
  stepMs: number;
  /** Prompt tokens prefilled per millisecond. */
  prefillPerMs: number;
  kvUsedShare: number;
  maxBatch: number;
  adapters?: string[];
}

/** A change of an engine's prefix cache. */
export interface CacheChange {
  kind: "stored" | "evicted";
  prefix: number;
}

/** An event of the reducer, without its time. */
export type EventBody =
  | GatewayEvent
  | QuarantineEvent
  | CatchUpEvent
  | { kind: "tick" }
  | ({ kind: "request_arrived" } & Arrival)
  | { kind: "caller_gone"; request: string }
  | { kind: "attempt_accepted"; request: string; attempt: number }
  /** An answer's head says something of its backend server. */
  | {
    kind: "server_reported";
    request: string;
    attempt: number;
    /** Time for which it wants no more requests of this entry VM, ms; undefined where it does not say. */
    backoffMs: number | undefined;
    isLeaving: boolean;
  }
  | {
    kind: "attempt_progress";
    request: string;
    attempt: number;
    tokens: number;
  }
  | {
    kind: "attempt_ended";
    request: string;
    attempt: number;
    outcome: Outcome;
    /** True once part of the response has reached the caller, so that no new attempt can replace it. */
    committed?: boolean;
    promptTokens?: number;
    cachedTokens?: number;
    retryAfterMs?: number;
    response?: StoredResponse;
  }
  | { kind: "member_reported"; address: string; status: MemberStatus }
  | {
    kind: "member_unreachable";
    address: string;
    vm?: string;
    cause: "refused" | "timeout";
  }
  | {
    kind: "cache_changed";
    target: string;
    sequence: number;
    changes: CacheChange[];
  }
  | { kind: "vms_listed"; vms: VmListing[] }
  | { kind: "config_loaded"; document: ConfigDocument }
  | { kind: "log_read"; records: StoredRecord[]; head: number; horizon: number }
  | { kind: "log_unreachable" }
  | { kind: "fold_restored"; dump: FoldDump; source: "snapshot" | "peer" }
  | { kind: "append_completed"; ids: string[]; stored: boolean }
  | {
    kind: "usage_signed";
    sequence: number;
    counters: UsageCounter[];
    signature: string;
  }
  | {
    kind: "peer_joined";
    peer: string;
    address: string;
    zone: string;
    incarnation: string;
  }
  | { kind: "peer_lost"; peer: string; incarnation: string }
  | { kind: "peer_received"; peer: string; message: PeerMessage }
  | { kind: "drain_ordered"; what: "node" | "vm"; name: string }
  | { kind: "stop_ordered"; immediate: boolean };

/** An event with its time. */
export type Event = EventBody & {
  at: number;
  /** Time by which the event loop was late when it handled the event, ms; absent where it was on time. */
  lateMs?: number;
};
/** Kind of an event. */
export type EventKind = EventBody["kind"];
/** Event of a given kind. */
export type EventOf<K extends EventKind> = Extract<EventBody, { kind: K }> & {
  at: number;
};
