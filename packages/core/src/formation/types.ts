/**
 * Types of the group planner, which forms replica groups from a shared pool of runners.
 *
 * @module
 */

import type { Average } from "../util/ewma.ts";

/** State of a runner within its group, as the runner reports it. */
export type MembershipState =
  | "joining"
  | "ready"
  | "open"
  | "closing"
  | "broken";

/** A runner's membership in a group. */
export interface Membership {
  group: string;
  epoch: number;
  /** 0 is the head, which receives the group's requests. */
  rank: number;
  state: MembershipState;
}

/** An order to one runner. */
export type RunnerOrder =
  | {
    action: "join";
    group: string;
    epoch: number;
    model: string;
    /** Ids of all members, the head first. */
    members: string[];
  }
  | { action: "open"; group: string; epoch: number }
  | {
    action: "close";
    group: string;
    epoch: number;
    /** `finish` lets running requests end; `interrupt` ends them at once. */
    mode: "finish" | "interrupt";
  }
  | { action: "leave"; group: string; epoch: number }
  | { action: "stage"; model: string };

/** Outcome of an order. */
export type OrderOutcome =
  | "accepted"
  | "already_done"
  /** The runner has seen a higher fencing number, from another planner. */
  | "fenced"
  /** The order does not fit the state of the runner. */
  | "mismatched"
  | "wrong_runner"
  | "refused"
  /** No response: the order may still be carried out. */
  | "unknown";

/** An order whose effect is not reported yet. */
export interface PendingOrder {
  order: RunnerOrder;
  fence: number;
  /** Start time of the runner that the order was sent to, Unix ms. */
  runnerStartedUnixMs: number;
  sentAt: number;
  /** Undefined until the response arrives. */
  outcome: OrderOutcome | undefined;
}

/** Results of the direct health checks of a runner. */
export interface HealthCheck {
  sentAt: number;
  isPending: boolean;
  /** Consecutive failed checks. */
  failures: number;
  /** Start time of the runner that the failures belong to, Unix ms. */
  runnerStartedUnixMs: number;
  /** Work of the runner, as reported in the last successful check. */
  report: RunnerReport | undefined;
}

/** Result of a health check: `refused` where nothing listens at the runner's address, `silent` where nothing responds. */
export type HealthStatus = "alive" | "silent" | "refused";

/** Work of a runner, as the runner reports it. */
export interface RunnerReport {
  running: number;
  queued: number;
  /** Time for which the runner is still cold, ms; undefined or 0 where it is warm or does not say. */
  coldForMs?: number | undefined;
}

/** Leadership of the group planner, which is granted for a limited time. */
export interface Leadership {
  isGranted: boolean;
  /** Time at which the last granted request was sent, ms; the grant counts from here. */
  renewedAt: number;
  /** Time at which this daemon last became the leader, ms. */
  leaderSince: number;
  /** Number of the current term; undefined until the term has begun. */
  term: number | undefined;
  /** True while a new term is being requested. */
  isTermRequested: boolean;
  /** True from when this daemon gave it up for want of a path to the engines until it has that path again. */
  hasYielded: boolean;
}

/** Planned members of a group. */
export interface PlannedGroup {
  service: string;
  epoch: number;
  model: string;
  /** Ids, the head first. */
  members: string[];
}

/** Losses and exposure of the last minute or so, each decaying with time. */
export interface MemberLosses {
  /** Members lost. */
  losses: number;
  /** Time that members spent in groups, summed over all members, ms. */
  memberMs: number;
  /** Time up to which both are counted, ms; undefined before the first round. */
  countedUntil: number | undefined;
  /** Members that each group has lost in its present epoch, by group. */
  counted: Map<string, { epoch: number; lost: number }>;
}

/** State of the group planner. */
export interface GroupPlanner {
  leadership: Leadership;
  /** Number of orders in the current term. */
  orderCount: number;
  pendingOrders: Map<string, PendingOrder>;
  /** Groups that were planned in the current term, by name. */
  plannedGroups: Map<string, PlannedGroup>;
  healthChecks: Map<string, HealthCheck>;
  /** Services of the groups that finish their requests and are not opened again, by group. */
  retiringGroups: Map<string, string>;
  /** Models of the last groups of runners, by runner, as far as this planner has seen them. */
  warmModels: Map<string, { model: string; startedUnixMs: number }>;
  /** Mean number of requests of each model's groups, by service and model. */
  demand: Map<string, Average>;
  /** Time since which a model has had requests, by service and model, ms. */
  demandSince: Map<string, number>;
  /** Times since which runners report a group that goes on without them, by runner, ms. */
  strandedSince: Map<string, number>;
  /** Losses of group members, by service. */
  memberLosses: Map<string, MemberLosses>;
  /** Weight loads that may begin now, as of `weightLoadAllowanceAt`. */
  weightLoadAllowance: number;
  weightLoadAllowanceAt: number;
  /** Time at which each running weight load is expected to end, ms. */
  weightLoadsEndAt: number[];
  /** Number of groups that this daemon has formed; part of the name of each. */
  groupCount: number;
  /** Time at which this daemon started, ms. */
  startedAt: number;
  /** Times at which the capacity of each service was last logged, ms. */
  capacityReportedAt: Map<string, number>;
  /** Time of the last round of planning, ms. */
  lastPlannedAt: number;
  /** True while the store's list may lack what runners have reported, so that nothing is ordered. */
  isPaused: boolean;
}
