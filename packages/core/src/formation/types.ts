/**
 * Replica groups that are formed from a shared pool of runners.
 *
 * @module
 */

import type { Average } from "../util/ewma.ts";

/** State of a runner within its group, as it reports it. */
export type MembershipState =
  | "joining"
  | "ready"
  | "open"
  | "closing"
  | "broken";

/** A runner's place in a group. */
export interface Membership {
  group: string;
  epoch: number;
  /** 0 is the head, which takes the group's requests. */
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
    /** `finish` lets running work end; `interrupt` cuts it off. */
    mode: "finish" | "interrupt";
  }
  | { action: "leave"; group: string; epoch: number }
  | { action: "stage"; model: string };

/** How an order ended. */
export type OrderOutcome =
  | "accepted"
  | "already_done"
  /** A planner with a higher fencing number is at work. */
  | "fenced"
  /** The order does not fit the state of the runner. */
  | "mismatched"
  | "wrong_runner"
  | "refused"
  /** No answer: it may be carried out yet. */
  | "unknown";

/** An order whose effect does not show yet. */
export interface OpenOrder {
  order: RunnerOrder;
  fence: number;
  /** Life of the runner that the order went to, Unix ms. */
  born: number;
  sentAt: number;
  /** Undefined until it is answered. */
  outcome: OrderOutcome | undefined;
}

/** What direct status checks say of a runner. */
export interface Probe {
  askedAt: number;
  pending: boolean;
  /** Checks in a row that failed. */
  misses: number;
  /** Life of the runner that the misses belong to, Unix ms. */
  born: number;
  /** What the runner said of its work with the last check that it answered. */
  report: RunnerReport | undefined;
}

/** Work of a runner, as it reports it. */
export interface RunnerReport {
  running: number;
  queued: number;
}

/** Right to plan groups, as granted for a time. */
export interface Duty {
  held: boolean;
  /** The grant counts from when the request for it was sent, ms. */
  renewedAt: number;
  heldSince: number;
  /** Number of this term of office; undefined until it has begun. */
  term: number | undefined;
  /** True while the start of a term is under way. */
  beginning: boolean;
}

/** Members that a group is meant to have. */
export interface Intent {
  epoch: number;
  model: string;
  /** Ids, the head first. */
  members: string[];
}

/** State of the group planner. */
export interface Formation {
  duty: Duty;
  /** Counts orders within a term. */
  orders: number;
  openOrders: Map<string, OpenOrder>;
  /** Planned members by group, of this term. */
  intents: Map<string, Intent>;
  probes: Map<string, Probe>;
  /** Mean requests that each model's groups have. */
  demand: Map<string, Average>;
  /** Loads that may still begin. */
  loadAllowance: number;
  loadAllowanceAt: number;
  /** Time at which each running load is expected to end, ms. */
  loadsEndAt: number[];
  groupsMade: number;
  /** Time at which this daemon started, ms. */
  startedAt: number;
  plannedAt: number;
}
