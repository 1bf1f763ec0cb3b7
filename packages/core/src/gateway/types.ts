/**
 * What an entry VM knows of routes, teams, runners and requests on a shared fleet.
 *
 * @module
 */
import type { Average } from "../util/ewma.ts";
import type { GroupPlanner, Membership } from "../formation/types.ts";
import type { Belief } from "./belief.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** How often a request of a route may run, and how it is answered. */
export type RouteKind =
  | "idempotent"
  | "non_idempotent"
  | "stream"
  | "resumable_stream";

/** One service that a route may use. */
export interface RouteBackend {
  service: string;
  weight: number;
}

/** One route of the configuration. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Longest time that a request may stay unanswered, ms. */
  timeoutMs: number;
  /** Latency objective; up to the first event for streams, ms. */
  targetLatencyMs: number;
  /** 0 is the most urgent. */
  priority: number;
  backends: RouteBackend[];
  /** Runners that one attempt of a caller may be sent to. */
  maxAttempts: number;
  /** True where no key is asked for. */
  isPublic: boolean;
}

/** One model that a pool of runners may serve. */
export interface Model {
  name: string;
  /** Runners in one replica group. */
  size: number;
  /** Share of the work that is expected at the start, 0 to 1. */
  share: number;
  /** Factor on every time of a group. */
  pace: number;
  /** Time to load the weights from the weight store, ms. */
  loadMs: number;
}

/** Limits of a service's model engines. */
export interface EngineProfile {
  /** Requests that one group runs at once. */
  slots: number;
  /** Tokens that fit the memory of one group. */
  kvTokens: number;
  models: Model[];
  /** Loads from the weight store that may begin each second. */
  loadsPerSecond: number;
  /** Loads that run side by side at full speed. */
  loadsAtOnce: number;
}

/** One service of the configuration. */
export interface Service {
  name: string;
  /** Present where the runners are model engines that work in groups. */
  engine: EngineProfile | undefined;
}

/** One team with the keys that its callers may use. */
export interface Team {
  name: string;
  keys: string[];
  /** Goes before the priority of the route. */
  priority: number | undefined;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** The whole configuration of routes, as an operator published it. */
export interface RoutingDocument {
  version: number;
  routes: Route[];
  services: Service[];
  /** Undefined where callers need no key. */
  teams: Team[] | undefined;
  limits: CallerLimits;
}

/** The configuration in force, indexed. */
export interface RoutingTable {
  document: RoutingDocument;
  /** Routes of each host, longest prefix first. */
  byHost: Map<string, Route[]>;
  services: Map<string, Service>;
  teamByKey: Map<string, Team>;
}

/** A runner as it describes itself in the shared list. */
export interface Runner {
  id: string;
  service: string;
  /** `IP:PORT`. */
  address: string;
  zone: string;
  slots: number;
  state: "ready" | "draining";
  /** Start of this life, Unix ms. */
  born: number;
  /** Fabric domain; undefined for plain services. */
  domain: string | undefined;
  /** Models on the runner's host. */
  staged: string[];
  /** Model that the runner holds in memory. */
  model: string | undefined;
  membership: Membership | undefined;
}

/** Load that a runner reported with an answer. */
export interface LoadSample {
  running: number;
  waiting: number;
  at: number;
  /** Own requests at that runner when it reported. */
  own: number;
}

/** What this daemon learned of a runner by sending to it. */
export interface Target {
  runner: string;
  /** Requests in flight from this daemon. */
  inFlight: number;
  /** Of these, the streams that have begun. */
  streaming: number;
  load: LoadSample | undefined;
  /** No new work before this time, ms. */
  avoidUntil: number;
  /** Failures since the last good answer. */
  failures: number;
  /** Time of the last byte from it, ms. */
  heardAt: number;
}

/** One try to have a request served by a runner. */
export interface Try {
  number: number;
  runner: string;
  sentAt: number;
  /** Time of the last byte of this try, or of its start, ms. */
  heardAt: number;
  /** True once response headers have come. */
  answered: boolean;
  /** True once a stream has begun. */
  isStreaming: boolean;
}

/** A caller's request while it is served. */
export interface Delivery {
  request: string;
  route: Route;
  service: string;
  model: string | undefined;
  team: string | undefined;
  priority: number;
  arrivedAt: number;
  /** The final answer is due at this time, ms. */
  expiresAt: number;
  promptTokens: number;
  maxOutputTokens: number;
  /** Tries so far, those that could not connect left out. */
  sends: number;
  tried: Set<string>;
  current: Try | undefined;
  tries: number;
  /** True once any try may have run. */
  mayHaveRun: boolean;
  /** True once headers have gone to the caller. */
  relaying: boolean;
  /** Id of the last event that reached the caller. */
  lastEvent: string | undefined;
  /** True once an event has reached the caller. */
  hasEvents: boolean;
  /** True while the request waits for a free place. */
  waiting: boolean;
}

/** Mean of the requests that other daemons have at the runners of one kind. */
export interface MeanLoad {
  others: Average;
  /** Time of the last report, ms. */
  at: number;
}

/** Everything that the gateway knows. */
export interface Gateway {
  zone: string;
  routing: RoutingTable | undefined;
  /** Age of what is known of the configuration. */
  routingBelief: Belief;
  /** Age of what is known of the runners. */
  runnerBelief: Belief;
  runners: Map<string, Runner>;
  /** Runners by the work that they take; kept by the roster. */
  takers: Map<string, Map<string, Runner>>;
  /** Time at which a runner was listed that had not been known, ms. */
  runnersGrewAt: number;
  targets: Map<string, Target>;
  deliveries: Map<string, Delivery>;
  /** Requests that wait for a place, by service and model. */
  waiting: Map<string, Set<string>>;
  retryBudgets: Map<string, RetryBudget>;
  /** Mean loads by kind of runner: service, model and availability zone. */
  meanLoads: Map<string, MeanLoad>;
  /** This daemon's part of all work before the runners, 0 to 1. */
  workShare: Average;
  /** Time at which it was last measured, ms. */
  workShareAt: number;
  groupPlanner: GroupPlanner;
  settings: GatewaySettings;
  stoppingSince: number;
}

/** Bounds of the deployment that decisions depend on. */
export interface GatewaySettings {
  /** Keys that were withdrawn must have no effect after this time, ms. */
  revokeMs: number;
  /** Sends beyond the first, as a share of the requests. */
  retryRatio: number;
  /** Sends beyond that share in each window, all daemons together. */
  retrySlack: number;
  retryWindowMs: number;
  /** After a stop signal the process may live this long, ms. */
  graceMs: number;
  /** A group whose member is lost stands still this long before it breaks, ms. */
  stallMs: number;
  /** True only when the whole system starts for the first time. */
  firstStart: boolean;
}
