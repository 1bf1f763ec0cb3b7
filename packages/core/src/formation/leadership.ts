/**
 * Keeps the leadership of the group planner: whether this daemon is the leader, and the fencing numbers of its orders.
 *
 * The store assigns leadership and may revoke it without notice, so each grant expires after a time. Safety comes from
 * the fencing numbers: each term uses an offset of the store's log, which no later term can undercut.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  DUTY_LIFE_MS,
  ORDERS_PER_TERM,
  TAKEOVER_WAIT_MS,
} from "./constants.ts";
import type { Duty, Formation } from "./types.ts";

/** Creates a group planner that is not the leader. */
export function createFormation(now: number): Formation {
  return {
    duty: {
      held: false,
      renewedAt: -Infinity,
      heldSince: 0,
      term: undefined,
      beginning: false,
    },
    orders: 0,
    openOrders: new Map(),
    intents: new Map(),
    probes: new Map(),
    demand: new Map(),
    loadAllowance: 0,
    loadAllowanceAt: now,
    loadsEndAt: [],
    groupsMade: 0,
    startedAt: now,
    plannedAt: -Infinity,
  };
}

/** Returns whether this daemon is the leader: its last grant has not expired. */
export function holdsDuty(duty: Duty, now: number): boolean {
  return duty.held && now - duty.renewedAt < DUTY_LIFE_MS;
}

/** Handles the response to a request for leadership. */
export function* renewDuty(
  state: State,
  { held, sentAt }: EventOf<"duty_renewed">,
): Effects {
  const { duty } = state.gateway!.formation;
  const wasHeld = holdsDuty(duty, state.now);
  if (!held) {
    if (duty.held) yield* resignDuty(state, "dealt_elsewhere");
    return;
  }
  if (sentAt < duty.renewedAt) return;
  duty.held = true;
  duty.renewedAt = sentAt;
  if (wasHeld) return;
  duty.term = undefined;
  duty.heldSince = state.now;
}

/** Gives up leadership until it is granted again. */
export function* resignDuty(state: State, cause: string): Effects {
  const { formation } = state.gateway!;
  const { duty } = formation;
  yield {
    kind: "log",
    event: "duty_lost",
    fields: {
      cause,
      term: duty.term,
      age: Math.round(state.now - duty.renewedAt),
    },
  };
  duty.held = false;
  duty.term = undefined;
  formation.openOrders.clear();
  formation.intents.clear();
}

/** Returns whether a term has begun; requests one where this daemon is the leader without a term. */
export function* ensureTerm(
  state: State,
): Generator<import("../effect/types.ts").Effect, boolean, void> {
  const { formation, settings } = state.gateway!;
  const { duty } = formation;
  if (!holdsDuty(duty, state.now)) return false;
  if (duty.term !== undefined) return true;
  const isFirst = settings.firstStart &&
    duty.renewedAt < formation.startedAt + DUTY_LIFE_MS * 2;
  const wait = isFirst ? 0 : TAKEOVER_WAIT_MS;
  if (duty.beginning || state.now - duty.heldSince < wait) return false;
  duty.beginning = true;
  yield { kind: "begin_term" };
  return false;
}

/** Handles the number of a new term; undefined where the request for one failed. */
export function* beginTerm(
  state: State,
  { term }: EventOf<"term_begun">,
): Effects {
  const { formation } = state.gateway!;
  const { duty } = formation;
  duty.beginning = false;
  if (term === undefined || !holdsDuty(duty, state.now)) return;
  duty.term = term;
  formation.orders = 0;
  formation.openOrders.clear();
  formation.intents.clear();
  yield {
    kind: "log",
    event: "duty_taken",
    fields: { term, age: Math.round(state.now - duty.renewedAt) },
  };
}

/** Returns the next fencing number, which is higher than all earlier ones. */
export function nextFence(formation: Formation): number {
  formation.orders += 1;
  return formation.duty.term! * ORDERS_PER_TERM + formation.orders;
}
