/**
 * The planner's duty: who holds it, for how long, and the numbers that fence its orders.
 *
 * The store deals the duty out and may take it back without a word, so a grant counts only for a time. Safety comes from
 * the fencing numbers: each term takes an offset of the store's log, which no later term can undercut.
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

/** Creates a planner that holds no duty. */
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

/** True while the duty's last grant still counts. */
export function holdsDuty(duty: Duty, now: number): boolean {
  return duty.held && now - duty.renewedAt < DUTY_LIFE_MS;
}

/** Handles the answer to a request to hold the duty. */
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

/** Gives the duty up until it is granted anew. */
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

/** Returns true once a term has begun; asks for one where the duty is held without. */
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

/** Handles the number of a new term; undefined where none could be had. */
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

/** Returns the next fencing number, higher than all before it. */
export function nextFence(formation: Formation): number {
  formation.orders += 1;
  return formation.duty.term! * ORDERS_PER_TERM + formation.orders;
}
