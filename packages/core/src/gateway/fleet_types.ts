/**
 * Types of what the gateway reads from the store: the routing configuration and the runners of a shared fleet.
 *
 * @module
 */
import type { Membership } from "../formation/types.ts";

/** Whether a request of a route may run more than once, and whether its response is a stream. */
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
  /** Time within which a request must have its final response, ms. */
  timeoutMs: number;
  /** Latency objective, ms; for streams it covers the time to the first event. */
  targetLatencyMs: number;
  /** 0 is the most urgent. */
  priority: number;
  backends: RouteBackend[];
  /** Runners that one request may be sent to; a caller's own retry is a new request. */
  maxAttempts: number;
  /** True where callers need no key. */
  isPublic: boolean;
  /** Regions whose runners may serve the route; undefined where any may. */
  allowedRegions?: string[] | undefined;
}

/** One model that a pool of runners may serve. */
export interface Model {
  name: string;
  /** Runners in one replica group. */
  size: number;
  /** Share of the requests that is expected at the start, 0 to 1. */
  share: number;
  /** Factor on all processing times of a group. */
  pace: number;
  /** Time to load the weights from the weight store, ms. */
  loadMs: number;
}

/** Speed of a service's model engines, for a model of pace 1. */
export interface EngineSpeed {
  /** Time of one decode step, ms. */
  stepMs: number;
  /** Additional time of a step for each running request, ms. */
  stepMsPerRequest: number;
  /** Additional time of a step for each 1,000 tokens of context of a running request, ms. */
  stepMsPerContextKiloToken: number;
  /** Decode steps in one pass while requests are writing. */
  stepsPerPass: number;
  /** Prompt tokens that are read in a second. */
  prefillTokensPerSecond: number;
  /** Prompt tokens that are read in one step at most. */
  prefillChunkTokens: number;
  /** Mean prompt and output of a request, tokens; undefined where the configuration does not name them. */
  usual: { promptTokens: number; outputTokens: number } | undefined;
}

/** Limits of a service's model engines. */
export interface EngineProfile {
  /** Requests that one group runs at once. */
  slots: number;
  /** Tokens that fit into the memory of one group. */
  kvTokens: number;
  models: Model[];
  /** Weight loads from the weight store that may begin each second. */
  loadsPerSecond: number;
  /** Weight loads that run in parallel at full speed. */
  loadsAtOnce: number;
  /** Undefined where a daemon of an earlier version passed the configuration on. */
  speed?: EngineSpeed | undefined;
}

/** Limit on the requests to a runner that has just started. */
export interface ColdStart {
  /** Time for which a runner is cold after its start, ms. */
  durationMs: number;
  /** Requests a second that a cold runner takes from all daemons together. */
  requestsPerSecond: number;
}

/** One service of the configuration. */
export interface Service {
  name: string;
  /** Limits of the model engines that work in groups; undefined for plain services. */
  engine: EngineProfile | undefined;
  /** Undefined where runners take any rate of requests as soon as they have started. */
  coldStart?: ColdStart | undefined;
}

/** A team with the keys of its callers. */
export interface Team {
  name: string;
  keys: string[];
  /** Overrides the priority of the route. */
  priority: number | undefined;
  /** Regions whose runners may serve the team; undefined where any may. */
  allowedRegions?: string[] | undefined;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** The whole routing configuration, as an operator published it. */
export interface RoutingDocument {
  version: number;
  routes: Route[];
  services: Service[];
  /** Undefined where callers need no key. */
  teams: Team[] | undefined;
  limits: CallerLimits;
}

/** A process of a runner that has said that it leaves. */
export interface LeavingRunner {
  id: string;
  /** Start time of the process, Unix ms. */
  startedUnixMs: number;
}

/** A runner's own entry in the shared runner list. */
export interface Runner {
  id: string;
  service: string;
  /** `IP:PORT`. */
  address: string;
  zone: string;
  slots: number;
  state: "ready" | "draining";
  /** Start time of the runner's process, Unix ms. */
  startedUnixMs: number;
  /** Writes of the process to its entry when this content was first written; undefined where it does not count them. */
  writeCount?: number | undefined;
  /** Time for which the runner was still cold when it wrote this entry, ms; undefined or 0 where it was warm. */
  coldForMs?: number | undefined;
  /** Fabric domain; undefined for plain services. */
  domain: string | undefined;
  /** Models whose weights are staged on the runner's host. */
  staged: string[];
  /** Model that is loaded in the runner's memory. */
  model: string | undefined;
  membership: Membership | undefined;
}
