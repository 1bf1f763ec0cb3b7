/**
 * Tracks the leadership of the group planner: whether this daemon is the leader, and the fencing numbers of its orders.
 *
 * The store assigns leadership and may revoke it without notice, so each grant expires after a time. Safety comes from
 * the fencing numbers: the number of each term is an offset of the store's log, so a later term always has a higher one.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import { isPathLostFor } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import {
  LEADERSHIP_TTL_MS,
  MAX_ORDERS_PER_TERM,
  TAKEOVER_WAIT_MS,
  YIELD_AFTER_MS,
} from "./constants.ts";
import type { GroupPlanner, Leadership } from "./types.ts";

/** Creates a group planner that is not the leader. */
export function createGroupPlanner(now: number): GroupPlanner {
  return {
    leadership: {
      isGranted: false,
      renewedAt: -Infinity,
      leaderSince: 0,
      term: undefined,
      isTermRequested: false,
      hasYielded: false,
    },
    orderCount: 0,
    pendingOrders: new Map(),
    plannedGroups: new Map(),
    healthChecks: new Map(),
    demand: new Map(),
    weightLoadAllowance: 0,
    weightLoadAllowanceAt: now,
    weightLoadsEndAt: [],
    groupCount: 0,
    startedAt: now,
    retiringGroups: new Map(),
    warmModels: new Map(),
    demandSince: new Map(),
    strandedSince: new Map(),
    memberLosses: new Map(),
    capacityReportedAt: new Map(),
    lastPlannedAt: -Infinity,
    isPaused: false,
  };
}

/** Returns whether this daemon is the leader: its last grant has not expired. */
export function isLeader(leadership: Leadership, now: number): boolean {
  return leadership.isGranted && now - leadership.renewedAt < LEADERSHIP_TTL_MS;
}

/** Handles the response to a request for leadership. */
export function* renewLeadership(
  state: State,
  { isGranted, sentAt }: EventOf<"leadership_renewed">,
): Effects {
  const { leadership } = state.gateway!.groupPlanner;
  const wasLeader = isLeader(leadership, state.now);
  if (!isGranted) {
    if (leadership.isGranted) yield* resignLeadership(state, "dealt_elsewhere");
    return;
  }
  if (sentAt < leadership.renewedAt) return;
  leadership.isGranted = true;
  leadership.renewedAt = sentAt;
  if (wasLeader) return;
  leadership.term = undefined;
  leadership.leaderSince = state.now;
}

/** Leaves the leadership to another daemon while this one does not reach the engines. */
export function* yieldLeadership(state: State): Effects {
  const { leadership } = state.gateway!.groupPlanner;
  const hasPath = hasPathToEngines(state);
  if (hasPath) leadership.hasYielded = false;
  if (hasPath || !isLeader(leadership, state.now)) return;
  leadership.hasYielded = true;
  yield* resignLeadership(state, "path_lost");
}

function hasPathToEngines(state: State): boolean {
  const { servicePaths, routing } = state.gateway!;
  return [...servicePaths.keys()].every((service) =>
    routing?.services.get(service)?.engine === undefined ||
    !isPathLostFor(state, service, { ms: YIELD_AFTER_MS })
  );
}

/** Gives up leadership until it is granted again. */
export function* resignLeadership(state: State, cause: string): Effects {
  const { groupPlanner } = state.gateway!;
  const { leadership } = groupPlanner;
  yield {
    kind: "log",
    event: "duty_lost",
    fields: {
      cause,
      term: leadership.term,
      age: Math.round(state.now - leadership.renewedAt),
    },
  };
  leadership.isGranted = false;
  leadership.term = undefined;
  groupPlanner.pendingOrders.clear();
  groupPlanner.plannedGroups.clear();
}

/** Returns whether a term has begun; requests one where this daemon is the leader without a term. */
export function* ensureTerm(
  state: State,
): Generator<import("../effect/types.ts").Effect, boolean, void> {
  const { groupPlanner, settings } = state.gateway!;
  const { leadership } = groupPlanner;
  if (!isLeader(leadership, state.now)) return false;
  if (leadership.term !== undefined) return true;
  const isFirstStart = settings.firstStart &&
    leadership.renewedAt < groupPlanner.startedAt + LEADERSHIP_TTL_MS * 2;
  const waitMs = isFirstStart ? 0 : TAKEOVER_WAIT_MS;
  if (
    leadership.isTermRequested || state.now - leadership.leaderSince < waitMs
  ) return false;
  leadership.isTermRequested = true;
  yield { kind: "begin_term" };
  return false;
}

/** Handles the number of a new term; undefined where the request for one failed. */
export function* beginTerm(
  state: State,
  { term }: EventOf<"term_begun">,
): Effects {
  const { groupPlanner } = state.gateway!;
  const { leadership } = groupPlanner;
  leadership.isTermRequested = false;
  if (term === undefined || !isLeader(leadership, state.now)) return;
  leadership.term = term;
  groupPlanner.orderCount = 0;
  groupPlanner.pendingOrders.clear();
  groupPlanner.plannedGroups.clear();
  groupPlanner.retiringGroups.clear();
  yield {
    kind: "log",
    event: "duty_taken",
    fields: { term, age: Math.round(state.now - leadership.renewedAt) },
  };
}

/** Returns the next fencing number, which is higher than all earlier ones. */
export function nextFence(groupPlanner: GroupPlanner): number {
  groupPlanner.orderCount += 1;
  return groupPlanner.leadership.term! * MAX_ORDERS_PER_TERM +
    groupPlanner.orderCount;
}
