/**
 * Types of the gateway: its state, the requests in progress, and what this daemon has learned of each runner.
 *
 * @module
 */
import type { Admission } from "../admission/types.ts";
import type { Average } from "../util/ewma.ts";
import type { ColdRunner } from "../cold_start/types.ts";
import type { Forwarding } from "../forwarding/types.ts";
import type { GroupPlanner } from "../formation/types.ts";
import type { Placement } from "../placement/types.ts";
import type { Pacing } from "../pacing/types.ts";
import type { KnownChains } from "../quarantine/types.ts";
import type { StoreTimeline } from "../store_timeline/types.ts";
import type { ReadTimes } from "../read_sharing/read_times.ts";
import type { DaemonEntry, ReadSharing } from "../read_sharing/types.ts";
import type { FirstEventExpectation, LoadSharing } from "../load/types.ts";
import type { HedgingLimits, HedgingState } from "../hedging/types.ts";
import type { ServicePath } from "../service_path/types.ts";
import type {
  Route,
  RoutingDocument,
  Runner,
  Service,
  Team,
} from "./fleet_types.ts";
import type { Freshness } from "./freshness.ts";
import type { RetryBudget } from "./retry_budget.ts";

export type * from "./fleet_types.ts";

/**
 * How the capacity of a service is shared: `local` where each daemon decides by what it has seen itself, `shared` where
 * the daemons of an availability zone share their load reports and divide the capacity fairly.
 */
export type CapacityPolicy = "local" | "shared";

/** What the routes that lead to a service ask of it. */
export interface ServiceLevels {
  /** Priorities of these routes and of all teams, most urgent first, each once. */
  priorities: readonly number[];
  /** Longest objective, ms. */
  maxObjectiveMs: number;
  /** Names of the routes. */
  routes: ReadonlySet<string>;
}

/** The configuration in force, indexed for look-ups. */
export interface RoutingTable {
  document: RoutingDocument;
  /** Routes of each host, longest prefix first. */
  byHost: Map<string, Route[]>;
  services: Map<string, Service>;
  /** How the capacity of each service is shared, by service. */
  capacityPolicies: Map<string, CapacityPolicy>;
  /** Priorities and objectives of each service, by service. */
  serviceLevels: Map<string, ServiceLevels>;
  teamByKey: Map<string, Team>;
}

/** Load that a runner reported with a response. */
export interface LoadSample {
  running: number;
  waiting: number;
  /** Time at which the report arrived here, or at the daemon that passed it on, ms. */
  at: number;
  /** Requests of this daemon at that runner when it reported. */
  localInFlight: number;
}

/** Time for which a runner that turned a request away wants no more. */
export interface Backoff {
  /** Its end, ms; the first request after it goes alone. */
  until: number;
  /** Time at which the last request after it was sent, ms. */
  triedAt: number;
  /** Start time of the process that asked for it, Unix ms. */
  startedUnixMs: number;
}

/** What this daemon has learned of a runner by sending requests to it. */
export interface RunnerStats {
  runner: string;
  /** Requests in flight from this daemon. */
  inFlight: number;
  /** Streams among them that have begun. */
  streaming: number;
  load: LoadSample | undefined;
  /** Time at which this daemon learned that the runner's group has opened, ms; undefined where it was open before. */
  openedAt: number | undefined;
  /** Requests a second that the runner takes from all daemons together; undefined where it names no limit. */
  requestsPerSecond: number | undefined;
  /** Time before which a runner with a limit or a cold start gets no request from this daemon, ms. */
  nextSendAt: number;
  /** Back-off that the runner asked for; undefined where it has answered since. */
  backoff: Backoff | undefined;
  /** The runner gets no new requests before this time, ms. */
  avoidUntil: number;
  /** It gets none through other daemons either before this time, ms. */
  avoidForwardedUntil: number;
  /** Forwarders that could not connect to it since it was last heard from, by node. */
  unreachedBy: Set<string>;
  /** Failures since the last successful response. */
  failures: number;
  /** Time at which the last byte from the runner arrived, ms. */
  lastSeenAt: number;
}

/** One send of a request to a runner. */
export interface Attempt {
  number: number;
  runner: string;
  /** Start time of the runner's process at the send, Unix ms. */
  startedUnixMs: number;
  /** Node of the daemon through which it goes; undefined where it goes to the runner directly. */
  forwarder: string | undefined;
  sentAt: number;
  /** Time at which the last byte of the response arrived, ms; before the first byte, the time of the send. */
  lastByteAt: number;
  /** True once the request was handed to a connection; before, it cannot have run. */
  isSent: boolean;
  /** What was expected at the send; undefined for services whose load is not shared. */
  expectation: FirstEventExpectation | undefined;
  /** True once the response headers have arrived. */
  hasHeaders: boolean;
  /** True once a stream has begun. */
  isStreaming: boolean;
  /** Times at which whole events arrived. */
  progressCount: number;
  /** Time at which the response headers arrived, ms. */
  headersAt: number;
  /** True once the response has shown that its prompt crashes nothing. */
  isSound: boolean;
  /** Chains of crashes under what may be blamed that were known at the send. */
  chains: KnownChains;
  /** True while the caller does not read what it was sent, so that the runner's response is paused. */
  isBlocked: boolean;
  /** Time at which that last began, ms. */
  blockedAt: number;
  /** True once the response was left unread for so long that its runner may have cut it. */
  wasLeftUnread: boolean;
}

/** A caller's request while the gateway handles it. */
export interface RoutedRequest {
  id: string;
  route: Route;
  service: string;
  model: string | undefined;
  team: string | undefined;
  priority: number;
  /** Regions whose runners may serve it; undefined where any may. */
  allowedRegions: readonly string[] | undefined;
  arrivedAt: number;
  /** Time by which the final response is due, ms. */
  expiresAt: number;
  promptTokens: number;
  maxOutputTokens: number;
  /** The caller's estimate of the output, tokens; undefined where it gives none. */
  expectedOutputTokens?: number | undefined;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  promptParts: readonly string[];
  /** Hash of the content, the same for all copies of the request; undefined where it is not known. */
  fingerprint: string | undefined;
  /** Ids of what may be blamed where a runner crashes under the request. */
  crashSuspects: readonly string[];
  /** Attempts that count towards the route's limit; those that failed to connect are left out. */
  countedAttempts: number;
  triedRunners: Set<string>;
  /** Those of them that certainly did not get the request. */
  unreachedRunners: Set<string>;
  /** Daemons that failed to forward the request, or refused to. */
  triedForwarders: Set<string>;
  /** Connections to runners that failed since one last succeeded. */
  failedConnects: number;
  currentAttempt: Attempt | undefined;
  /** The other attempt of a hedged request, until one of the two has won. */
  parallelAttempt: Attempt | undefined;
  /** True once it was decided that the request is not hedged. */
  isHedgeDecided: boolean;
  attempts: number;
  /** True once a runner may have run the request in any attempt. */
  mayHaveRun: boolean;
  /** True once response headers are relayed to the caller. */
  isRelaying: boolean;
  /** Id of the last event that was relayed to the caller. */
  lastEvent: string | undefined;
  /** True once an event was relayed to the caller. */
  hasEvents: boolean;
  /** True while the request waits for a free slot. */
  isWaiting: boolean;
  /** True while a stream that broke off waits for a retry, since the budget holds none. */
  awaitsRetry: boolean;
  /** True where the request is a trial of a quarantined part of its prompt. */
  isTrial: boolean;
  /** Time until which the request may wait for a free slot, ms. */
  waitUntil: number;
}

/** Mean number of remote requests, those of other daemons, at the runners of one kind. */
export interface MeanLoad {
  remoteRequests: Average;
  /** Time of the last report, ms. */
  at: number;
}

/** A member of a group that is no longer listed. */
export interface UnlistedMember {
  /** Its last entry. */
  runner: Runner;
  /** Time at which it left the list, ms. */
  since: number;
}

/** State of the gateway. */
export interface Gateway {
  zone: string;
  routing: RoutingTable | undefined;
  /** Freshness of the configuration. */
  routingFreshness: Freshness;
  /** Freshness of the runner list. */
  runnersFreshness: Freshness;
  runners: Map<string, Runner>;
  /** Runner index: the candidates of each kind of work, by runner id. */
  runnerIndex: Map<string, Map<string, Runner>>;
  /** Time of the next sweep, ms. */
  nextSweepAt: number;
  /** Time at which a new runner was last added to the list, ms. */
  lastRunnerAddedAt: number;
  runnerStats: Map<string, RunnerStats>;
  /** Members of groups that are no longer listed, by id; those that left the list first come first. */
  unlistedMembers: Map<string, UnlistedMember>;
  /** Start times of the runner processes that have said that they leave, Unix ms, by runner id. */
  leavingRunners: Map<string, number>;
  /** Runners to which the last connection of this daemon failed. */
  unreachableRunners: Set<string>;
  /** Paths to services to which a connection has failed since one last succeeded, by service. */
  servicePaths: Map<string, ServicePath>;
  /** Runners that are cold or have just turned warm, by id. */
  coldRunners: Map<string, ColdRunner>;
  pacing: Pacing;
  forwarding: Forwarding;
  placement: Placement;
  requests: Map<string, RoutedRequest>;
  /** Ids of the requests that wait for a free slot, by service and model. */
  waitingRequests: Map<string, Set<string>>;
  /** What waits for, and is in flight at, the services whose capacity is shared. */
  admission: Admission;
  retryBudgets: Map<string, RetryBudget>;
  hedging: HedgingState;
  /** Mean loads by kind of runner: service, model and availability zone. */
  meanLoads: Map<string, MeanLoad>;
  loadSharing: LoadSharing;
  /** Number of known runners that can serve requests. */
  servingCount: number;
  /** This daemon's share of the requests at all runners, 0 to 1. */
  workShare: Average;
  /** Time at which the share was last measured, ms. */
  workShareMeasuredAt: number;
  groupPlanner: GroupPlanner;
  readSharing: ReadSharing;
  storeTimeline: StoreTimeline;
  settings: GatewaySettings;
  /** Time at which the stop signal arrived, ms; 0 before. */
  stoppingSince: number;
  /** Time at which the process may be killed after the stop signal, ms; infinite before. */
  graceEndsAt: number;
}

/** Limits and times of the deployment that decisions depend on. */
export interface GatewaySettings {
  /** Revoked keys must have no effect after this time, ms. */
  revokeMs: number;
  /** Time within which a new configuration must be in force, ms. */
  configApplyMs: number;
  /** Times of the reads of the store, and of what other daemons have read. */
  readTimes: ReadTimes;
  /** Retries allowed, as a share of the requests. */
  retryRatio: number;
  /** Retries allowed beyond that share in each window, summed over all daemons. */
  retrySlack: number;
  retryWindowMs: number;
  /** Time that the process may keep running after a stop signal, ms. */
  graceMs: number;
  /** Time for which a group that lost a member stalls before it breaks, ms. */
  stallMs: number;
  /** Factor on a cold runner's limit within which the requests of all daemons must stay in any second. */
  coldOverage: number;
  /** Requests beyond that which a cold runner may get in any second. */
  coldSlack: number;
  /** Time after which nothing reaches the runners of an evacuated availability zone any more, ms. */
  evacuateMs: number;
  /** False where no capacity is shared, whatever the configuration says of its services. */
  isCapacityShared?: boolean | undefined;
  /** Undefined where requests are not hedged. */
  hedging?: HedgingLimits | undefined;
  /** Regions by availability zone; empty where the deployment names none. */
  regions: Readonly<Record<string, string>>;
  /** True only where the whole system starts for the first time. */
  firstStart: boolean;
  /** This daemon as its followers see it; undefined where every daemon reads the store itself. */
  self: DaemonEntry | undefined;
}
