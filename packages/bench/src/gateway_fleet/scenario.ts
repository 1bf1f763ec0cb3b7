/**
 * Describes what a simulated deployment consists of: daemons, runners, models, callers and faults.
 *
 * @module
 */
import type { EngineProfile, GatewaySettings } from "@primroseshed/core";

/** Distribution of a number of tokens: log-normal, cut off at both ends. */
export interface TokenDistribution {
  median: number;
  /** Standard deviation of the logarithm. */
  sigma: number;
  min: number;
  max: number;
}

/** One kind of request, with a streaming route of its own. */
export interface RequestKind {
  name: string;
  model: string;
  /** Requests a second of all callers. */
  perSecond: number;
  promptTokens: TokenDistribution;
  outputTokens: TokenDistribution;
  /** Objective for the first event, ms. */
  objectiveMs: number;
  /** Longest pause between two events of a response that is in time, ms. */
  maxPauseMs: number;
  /** Time that a caller will wait for the whole response, ms. */
  deadlineMs: number;
}

/** A fault of a simulated deployment; times are counted from the first request. */
export type Fault =
  /** Members of groups stop for good, chosen at random in one availability zone. */
  | { kind: "lose_members"; atMs: number; zone: number; count: number }
  /** All runners of a fabric domain fall silent for some time. */
  | { kind: "domain_dark"; atMs: number; forMs: number; domain: number }
  /** Runners lose their connection to the store while requests still reach them. */
  | { kind: "cut_from_store"; atMs: number; forMs: number; share: number }
  /** Groups work more slowly for some time. */
  | {
    kind: "slow_runners";
    atMs: number;
    forMs: number;
    share: number;
    factor: number;
  }
  /** Runners without weights are added to the domains of one availability zone. */
  | { kind: "add_runners"; atMs: number; zone: number; count: number }
  /** Another daemon becomes the leader of the group planner. */
  | { kind: "change_planner"; atMs: number };

/** A deployment, its callers and its faults. */
export interface Scenario {
  name: string;
  /** Number of daemons in each availability zone. */
  daemonsByZone: readonly number[];
  /** Number of fabric domains in each availability zone. */
  domainsByZone: readonly number[];
  runnersPerDomain: number;
  engine: EngineProfile;
  /** Requests that a head queues beyond its slots. */
  queueLength: number;
  kinds: readonly RequestKind[];
  /** Part by which the traffic of a zone rises and falls; the zones are out of phase. */
  trafficSwing: number;
  trafficPeriodMs: number;
  /** Time between the start of the daemons and the first request, ms. */
  leadMs: number;
  /** Time for which requests arrive, ms. */
  trafficMs: number;
  settings: Pick<GatewaySettings, "retryRatio" | "retrySlack" | "stallMs">;
  faults: readonly Fault[];
}
