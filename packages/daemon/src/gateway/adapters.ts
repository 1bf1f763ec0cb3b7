/**
 * What the gateway needs of the systems around it, in the project's own terms. An adapter translates; it decides nothing.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type {
  OrderOutcome,
  RoutingDocument,
  Runner,
  RunnerOrder,
  RunnerReport,
  Verdict,
} from "@primroseshed/core";

/** What a caller's headers say of its request. */
export interface RequestFacts {
  /** Id of this attempt of the caller; it appears in every log line of the request. */
  id: string | undefined;
  key: string | undefined;
  deadlineMs: number | undefined;
  model: string | undefined;
  promptTokens: number;
  maxOutputTokens: number;
  lastEvent: string | undefined;
}

/** What the daemon adds to a request that it sends on. */
export interface SendFacts {
  runner: string;
  remainingMs: number;
  urgency: number | undefined;
  team: string | undefined;
  resumeAfter: string | undefined;
}

/** What the head of a runner's reply says. */
export interface ReplyFacts {
  verdict: Verdict;
  /** True where the reply carries the runner's signature and answers this very request. */
  isGenuine: boolean;
  load: { running: number; waiting: number } | undefined;
}

/** Translates headers. */
export interface Dialect {
  /** Path that the balancer asks to learn whether this daemon is ready. */
  readyPath: string;
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Headers of a request to a runner, as name and value in turn. */
  requestHeaders(rawHeaders: readonly string[], send: SendFacts): string[];
  readReply(
    status: number,
    headers: ReplyHeaders,
    options: { id: string | undefined },
  ): ReplyFacts;
  /** Headers of a runner's reply that go on to the caller. */
  replyHeaders(headers: ReplyHeaders): ReplyHeaders;
}

/** Headers of a reply as the HTTP client gives them. */
export type ReplyHeaders = Record<string, string | string[] | undefined>;

/** Record of a keyed topic; no value means that the key was dropped. */
export interface KeyedRecord<T> {
  key: string;
  /** Undefined where the key was dropped or its value could not be read. */
  value: T | undefined;
  /** Why a value could not be read. */
  problem?: string;
}

/** Result of a read from a keyed topic. */
export type KeyedRead<T> =
  | { kind: "records"; records: KeyedRecord<T>[]; next: number }
  /** The records asked for are gone; the whole topic must be read. */
  | { kind: "trimmed" };

/** A topic of the store that keeps the newest record of each key. */
export interface KeyedTopic<T> {
  /** Reads the newest record of every key, and the offset to read on from. */
  readAll(): Promise<{ records: KeyedRecord<T>[]; next: number }>;
  /** Waits up to `waitMs` for records from an offset on. */
  readFrom(offset: number, options: { waitMs: number }): Promise<KeyedRead<T>>;
}

/** The store as the planner's duty needs it. */
export interface DutyStore {
  /** Asks to hold the duty or to keep it; true where it is held. */
  renew(member: string): Promise<boolean>;
  /** Begins a term; its number is higher than that of every earlier one. */
  beginTerm(member: string): Promise<number>;
  /** Gives the duty back. */
  leave(member: string): Promise<void>;
}

/** Answer to a status check. */
export interface ProbeAnswer {
  alive: boolean;
  /** Undefined where there is none. */
  report?: RunnerReport;
  /** Why the report of a runner that answered cannot be read. */
  problem?: string;
}

/** Calls to runners beside requests. */
export interface RunnerControl {
  order(
    address: string,
    options: { runner: string; fence: number; order: RunnerOrder },
  ): Promise<OrderOutcome>;
  /** Checks a runner's status. */
  probe(address: string): Promise<ProbeAnswer>;
}

/** Everything around the gateway. */
export interface Adapters {
  dialect: Dialect;
  routing: KeyedTopic<RoutingDocument>;
  runners: KeyedTopic<Runner>;
  duty: DutyStore;
  control: RunnerControl;
}
