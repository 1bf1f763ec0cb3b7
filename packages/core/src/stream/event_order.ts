/**
 * Checks the ids of a stream's events, so that its caller gets each event once and no pieces of two runs.
 *
 * The ids of a stream rise. Where a run breaks off, another one goes on after the last event that the caller has, and one
 * that begins elsewhere is no continuation. Ids may rise by any number, so a missing event shows only where a new run
 * leaves out an id of a stream whose ids have risen by one each.
 *
 * @module
 */

/** What the order of a stream depends on in an event. */
export interface EventMark {
  /** Undefined where the event has none. */
  id: string | undefined;
  /** False for comments, which are no events to a caller. */
  hasData: boolean;
}

/** How far the ids of a stream have risen from event to event. */
type Step = "unknown" | "one" | "any";

/** Position in one caller's stream of events, over all runs that produce it. */
export interface EventOrder {
  /** Last number that the caller has. */
  last: bigint | undefined;
  step: Step;
  /** True until the current run's first event. */
  isNewRun: boolean;
  /** True where the caller has an event without an id after the last one with an id, so that no run can go on. */
  isPositionLost: boolean;
}

/** What to do with an event. */
export type EventAction = "pass_on" | "broken_frame";

/** Ids that are compared; longer ones are no numbers of events. */
const NUMBER_PATTERN = /^[0-9]{1,30}$/;
/** Id of the first event of a stream whose ids count its events. */
const FIRST_NUMBER = 1n;

function parseNumber(id: string | undefined): bigint | undefined {
  return id !== undefined && NUMBER_PATTERN.test(id) ? BigInt(id) : undefined;
}

/** Returns the order of a stream that begins after an event which its caller already has, if it names one. */
export function createEventOrder(after: string | undefined): EventOrder {
  return {
    last: parseNumber(after),
    step: "unknown",
    isNewRun: true,
    isPositionLost: false,
  };
}

function stepTo({ last, step }: EventOrder, number: bigint): Step {
  if (step === "any") return step;
  const isNext = number === (last === undefined ? FIRST_NUMBER : last + 1n);
  return isNext ? "one" : "any";
}

function isInOrder(order: EventOrder, number: bigint): boolean {
  const { last, step, isNewRun } = order;
  if (last === undefined) return true;
  if (number <= last) return false;
  return !isNewRun || step !== "one" || number === last + 1n;
}

/**
 * Returns what to do with an event of the current run, and moves the order past one that is to be passed on.
 *
 * @example
 * ```ts
 * const order = createEventOrder("4");
 * advanceOrder(order, { id: "5", hasData: true }); // "pass_on"
 * advanceOrder(order, { id: "5", hasData: true }); // "broken_frame"
 * ```
 */
export function advanceOrder(
  order: EventOrder,
  { id, hasData }: EventMark,
): EventAction {
  if (id === undefined && !hasData) return "pass_on";
  if (order.isNewRun && order.isPositionLost) return "broken_frame";
  const number = parseNumber(id);
  if (number !== undefined) {
    if (!isInOrder(order, number)) return "broken_frame";
    order.step = stepTo(order, number);
    order.last = number;
  }
  order.isNewRun = false;
  order.isPositionLost = id === undefined;
  return "pass_on";
}
