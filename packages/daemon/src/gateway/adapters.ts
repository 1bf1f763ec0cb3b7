/**
 * Interfaces of the systems around the gateway, in the project's own terms.
 *
 * An implementation translates headers and formats and calls the systems; it makes no routing or planning decisions.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type {
  DaemonEntry,
  HealthStatus,
  LogPosition,
  OrderOutcome,
  PartReading,
  PartRecord,
  RoutingDocument,
  Runner,
  RunnerOrder,
  RunnerReport,
  TimelineFloor,
  Verdict,
} from "@primroseshed/core";
import type { HeaderMap } from "../http/header_bytes.ts";

/** Metadata of a caller's request, read from its headers. */
export interface RequestMetadata {
  /** Id that the caller gave this attempt; included in every log line of the request. */
  id: string | undefined;
  key: string | undefined;
  deadlineMs: number | undefined;
  model: string | undefined;
  promptTokens: number;
  maxOutputTokens: number;
  /** The caller's estimate of the output, tokens; undefined where it gives none. */
  expectedOutputTokens?: number | undefined;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  promptParts: readonly string[];
  lastEvent: string | undefined;
}

/** Values that the daemon adds to a request that it sends to a runner. */
export interface UpstreamRequest {
  runner: string;
  remainingMs: number;
  urgency: number | undefined;
  team: string | undefined;
  resumeAfter: string | undefined;
}

/** Metadata of a runner's response, read from its status and headers. */
export interface ResponseMetadata {
  verdict: Verdict;
  /** True if the response belongs to another request, or is a success without the runner's signature. */
  isForeign: boolean;
  load: { running: number; waiting: number } | undefined;
  /** Requests a second that the runner takes from all daemons together; undefined where it names no limit. */
  requestsPerSecond: number | undefined;
  /** True where the runner says that it leaves. */
  isLeaving: boolean;
  /** Time for which the runner wants no more requests of this daemon, ms; undefined where it does not say. */
  backoffMs: number | undefined;
}

/** Decodes the headers that the gateway receives and encodes those that it sends. */
export interface HeaderCodec {
  /** Path that the load balancer requests to check whether this daemon is ready. */
  readyPath: string;
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Returns the headers of a request to a runner, names and values alternating. */
  requestHeaders(
    rawHeaders: readonly string[],
    upstream: UpstreamRequest,
  ): string[];
  readResponse(
    status: number,
    headers: ResponseHeaders,
    options: {
      id: string | undefined;
      /** True where the connection may have carried another request before. */
      isKept?: boolean;
    },
  ): ResponseMetadata;
  /** Returns the headers of a runner's response that are forwarded to the caller. */
  responseHeaders(headers: ResponseHeaders): ResponseHeaders;
}

/** Headers of a response as the HTTP client returns them. */
export type ResponseHeaders = HeaderMap;

/** Record of a keyed topic. */
export interface KeyedRecord<T> {
  key: string;
  /** Undefined if the key was deleted or its value could not be read. */
  value: T | undefined;
  /** Reason why the value could not be read. */
  problem?: string;
}

/** Result of a read from a keyed topic. */
export type KeyedRead<T> =
  | {
    kind: "records";
    records: KeyedRecord<T>[];
    next: LogPosition;
  }
  /** The requested records no longer exist; the whole topic must be read again. */
  | { kind: "trimmed" }
  /** The store was replaced by an older copy, so that the position names nothing; the whole topic must be read again. */
  | { kind: "restored"; timeline: number };

/** Topic of the store that keeps the newest record of each key. */
export interface KeyedTopic<T> {
  /** Reads the newest record of every key and returns the position to continue from. */
  readAll(): Promise<{ records: KeyedRecord<T>[]; next: LogPosition }>;
  /**
   * Reads the records from a position on, waiting up to `waitMs` for the first one; the answer must come within
   * `answerMs` after that.
   */
  readFrom(
    position: LogPosition,
    options: { waitMs: number; answerMs: number },
  ): Promise<KeyedRead<T>>;
}

/** What an operator has written into the store. */
export type OperatorRecord =
  | { kind: "routing"; document: RoutingDocument }
  | {
    kind: "evacuation";
    zone: string;
    /** False once the evacuation is lifted. */
    isInForce: boolean;
  };

/** Registrations of the daemons in the store, by which they find each other. */
export interface DaemonRegistry {
  daemons: KeyedTopic<DaemonEntry>;
  /** Registers this daemon, in place of its earlier incarnation. */
  register(entry: DaemonEntry): Promise<void>;
}

/** What the daemons know of parts of prompts that crash runners, kept in the store. */
export interface PartRegistry {
  parts: KeyedTopic<PartReading>;
  write(records: readonly PartRecord[]): Promise<void>;
  delete(parts: readonly string[]): Promise<void>;
}

/** Floors of the store's timelines, kept in the store by the daemons that read it. */
export interface FloorRegistry {
  floors: KeyedTopic<TimelineFloor>;
  /** Writes the floor that a daemon knows, in place of its earlier one. */
  write(node: string, floor: TimelineFloor): Promise<void>;
}

/** Leader election of the group planner, backed by the store. */
export interface LeaderElection {
  /** Acquires or extends the leadership; resolves to true if this member is the leader. */
  renew(member: string): Promise<boolean>;
  /** Begins a term and returns its number, which is higher than that of every earlier term. */
  beginTerm(member: string): Promise<number>;
  /** Resigns the leadership. */
  resign(member: string): Promise<void>;
}

/** Result of a health check of a runner. */
export interface HealthCheckResult {
  status: HealthStatus;
  /** Undefined if the runner sent none. */
  report?: RunnerReport;
  /** Reason why the report of a runner that responded cannot be read. */
  problem?: string;
}

/** Calls to runners other than callers' requests. */
export interface RunnerControl {
  order(
    address: string,
    options: { runner: string; fence: number; order: RunnerOrder },
  ): Promise<OrderOutcome>;
  /** Requests a runner's status directly. */
  checkHealth(
    address: string,
    options: { runner: string },
  ): Promise<HealthCheckResult>;
}

/** All external systems of a gateway. */
export interface Adapters {
  headerCodec: HeaderCodec;
  /** Configuration and evacuations, which one subscription reads together. */
  operatorRecords: KeyedTopic<OperatorRecord>;
  runners: KeyedTopic<Runner>;
  daemonRegistry: DaemonRegistry;
  partRegistry: PartRegistry;
  floorRegistry: FloorRegistry;
  leaderElection: LeaderElection;
  runnerControl: RunnerControl;
}
