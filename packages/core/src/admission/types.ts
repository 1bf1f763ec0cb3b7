/**
 * Types of admission to services whose capacity is shared: what waits, what is held, and what is known of the pace.
 *
 * @module
 */
import type { Average, Rate } from "../util/ewma.ts";
import type { FairNode } from "./fair_queue.ts";

/** Whether the first event of a waiting request can be within the objective. */
export type WaitClass = "in_time" | "late";

/** A request that waits for a free slot. */
export interface Waiter {
  request: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Route and team. */
  path: readonly [route: string, team: string];
  /** Prompt and expected output, tokens. */
  cost: number;
  /** Time at which it began to wait, ms. */
  since: number;
  /** Wait that was expected for it, ms; undefined until that was estimated. */
  expectedMs: number | undefined;
  /** True where its first event can no longer be within the objective. */
  isLate: boolean;
  /** True where it was sent before, and a runner turned it away. */
  isReturned: boolean;
  /** True once it has left the queue. */
  isGone: boolean;
}

/** Requests of one priority. */
export interface PriorityLevel {
  priority: number;
  /** Waiting requests whose first event can be within the objective, by route and team. */
  inTime: FairNode<Waiter>;
  /** Waiting requests that are late but still useful to their callers. */
  late: FairNode<Waiter>;
  /** Cost that the level may start before more urgent ones, tokens; negative where it has had more than its minimum. */
  credit: number;
  /** Cost that arrives, tokens per millisecond. */
  demand: Rate;
  /** Requests in flight from this daemon, by route and team. */
  held: HeldTree;
  /** When requests last found no room, by route and team. */
  unmet: Map<string, UnmetRoute>;
}

/** Times at which requests of one route last found no room. */
export interface UnmetRoute {
  /** Of any team, ms. */
  at: number;
  /** By team, ms. */
  teams: Map<string, number>;
}

/** Cost in flight, by route and team. */
export type HeldTree = Map<string, HeldRoute>;

/** Cost in flight of one route, tokens. */
export interface HeldRoute {
  cost: number;
  teams: Map<string, number>;
}

/** Requests that wait for the runners of one kind of work, and those in flight there. */
export interface WaitingQueue {
  /** Most urgent first. */
  levels: PriorityLevel[];
  waiters: Map<string, Waiter>;
  /** Mean cost of a request, tokens. */
  unitCost: Average;
  /** Cost that arrives at all levels, tokens per millisecond. */
  demand: Rate;
  /** Mean time for which a request holds its slot, ms; undefined until one has ended. */
  holdingMs: Average | undefined;
  /** Mean time from a send to the first event, ms, by route. */
  firstEventMs: Map<string, Average>;
  /** Mean ratio of waits to their estimates, of requests that could be in time and of late ones. */
  waitRatios: Record<WaitClass, Average>;
  /** Time at which idle nodes were last removed, ms. */
  prunedAt: number;
}

/** What a request in flight counts for. */
export interface Holder {
  queue: string;
  priority: number;
  path: readonly [route: string, team: string];
  cost: number;
}

/** Requests of one route and team, of one or more daemons of an availability zone. */
export interface ZoneHolding {
  route: string;
  /** Undefined where callers need no key. */
  team: string | undefined;
  /** Requests in flight. */
  requests: number;
  /** Prompt and expected output of those, tokens. */
  tokens: number;
  /** Requests that wait for a free slot. */
  waiting: number;
}

/** Counts that the other daemons of the availability zone have shared; this daemon adds its own. */
export interface ZoneHoldings {
  holdings: readonly ZoneHolding[];
  /** Age of the oldest count when the table arrived, ms. */
  ageMs: number;
}

/** Counts of one follower, or the sum of a zone, as one daemon sends them to another. */
export interface HoldingsReport {
  /** Availability zone of the daemons that are counted. */
  zone: string;
  /** Ids of the followers' reports that are contained; a follower's own report has one. */
  ids: number[];
  /** Age of the oldest count at the send, ms. */
  ageMs: number;
  /** The largest first. */
  rows: ZoneHolding[];
}

/** The newest report of a follower. */
export interface HoldingsPart {
  report: HoldingsReport;
  /** Time at which it arrived, ms. */
  heardAt: number;
}

/** What a daemon has sent and heard of the counts of its availability zone. */
export interface HoldingsSharing {
  /** The newest counts of each daemon that follows this one, by its id. */
  parts: Map<string, HoldingsPart>;
  /** Own reports of late, oldest first. */
  sent: HoldingsReport[];
  /** Number of own reports. */
  sentCount: number;
  /** Receiver and rows of the last report, to tell whether the next one differs; undefined before the first one. */
  lastContent: string | undefined;
  /** Time before which nothing is sent, ms. */
  nextAt: number;
  /** Time from which on the same counts are sent again, ms. */
  repeatAt: number;
}

/** A refused request that may come back. */
export interface Refused {
  /** Time at which it first arrived, ms. */
  arrivedAt: number;
  /** Time before which its caller was told not to come back, ms. */
  returnAt: number;
  /** Time by which its caller gives up, ms. */
  expiresAt: number;
}

/** State of admission to services whose capacity is shared. */
export interface Admission {
  /** By kind of work: service and model. */
  queues: Map<string, WaitingQueue>;
  /** Requests in flight, by id. */
  holders: Map<string, Holder>;
  /** Refused requests by team and content, oldest refusal first. */
  refused: Map<string, Refused>;
  /** Undefined until a table has arrived. */
  zone: { table: ZoneHoldings; countedAt: number } | undefined;
  holdingsSharing: HoldingsSharing;
}
