/**
 * Lets a daemon whose event loop was late read what its sockets hold before it decides anything.
 *
 * A late daemon has not heard what happened meanwhile: callers have left, runners have answered. Until its sockets were
 * read, timers do not run, queues are not served, and events that lead to sends or to blame are held back. What callers
 * and runners have said is handled at once, so that ready answers are delivered and given-up requests dropped.
 *
 * @module
 */
import type { Event, EventKind } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { MAX_LATENESS_MS, READS_BEFORE_DECISION } from "./constants.ts";
import type { CatchUp, DeferrableEvent, DeferrableKind } from "./types.ts";

/** Creates the state of a daemon that has caught up. */
export function createCatchUp(): CatchUp {
  return {
    reads: 0,
    lateAtRead: undefined,
    since: 0,
    isRead: false,
    deferred: [],
    deferredCount: 0,
    droppedCount: 0,
  };
}

/** Returns whether the sockets must be read again; the driver then reads them and dispatches `sockets_read`. */
export function isCatchingUp({ catchUp }: State): boolean {
  return catchUp.lateAtRead !== undefined;
}

/** Returns whether this daemon knows enough of the others to send requests and to judge their silence. */
export function mayDecide(state: State): boolean {
  return !isCatchingUp(state) || state.catchUp.isRead;
}

/** Returns whether an event that is held back may be handled now. */
export function hasDueEvent({ catchUp }: State): boolean {
  const [first] = catchUp.deferred;
  return first !== undefined &&
    catchUp.reads - first.reads >= READS_BEFORE_DECISION;
}

/** Tells for each kind of event that may be held back whether this one must be, while the sockets are not read. */
const IS_DECISION: {
  [K in DeferrableKind]: (
    event: Extract<DeferrableEvent, { kind: K }>,
  ) => boolean;
} = {
  routed_request_arrived: () => true,
  request_arrived: () => true,
  forward_arrived: () => true,
  response_failed: () => true,
  response_ended: ({ verdict }) => verdict !== "ran",
  attempt_ended: ({ outcome }) => outcome !== "completed",
};

function isDeferrable(event: Event): event is DeferrableEvent {
  return event.kind in IS_DECISION;
}

/** Events by which callers give up their requests. */
const CLOSING_KINDS: ReadonlySet<EventKind> = new Set([
  "routed_request_closed",
  "caller_gone",
  "forward_ended",
]);

/** Records by how much the event loop was late for an event, before it is handled. */
export function noteLateness(state: State, event: Event): void {
  const { catchUp } = state;
  catchUp.isRead = event.kind === "sockets_read" ||
    event.kind === "deferred_due";
  if ((event.lateMs ?? 0) <= MAX_LATENESS_MS) return;
  if (catchUp.lateAtRead === undefined) catchUp.since = state.now;
  catchUp.lateAtRead = catchUp.reads;
}

/** Holds an event back where the sockets have to be read first; returns whether it did. */
export function tryDefer(state: State, event: Event): boolean {
  if (mayDecide(state) || !isDeferrable(event)) return false;
  const isDecision = IS_DECISION[event.kind] as (
    event: DeferrableEvent,
  ) => boolean;
  if (!isDecision(event)) return false;
  const { catchUp } = state;
  catchUp.deferred.push({ event, reads: catchUp.reads });
  catchUp.deferredCount += 1;
  return true;
}

/** Takes the oldest event that may be handled now. */
export function takeDueEvent(state: State): DeferrableEvent | undefined {
  if (!hasDueEvent(state)) return undefined;
  return state.catchUp.deferred.shift()?.event;
}

/** Drops the events held back of a request whose caller has left. */
export function* dropDeferred(state: State, event: Event): Effects {
  const { catchUp, now } = state;
  if (!CLOSING_KINDS.has(event.kind)) return;
  const { request } = event as Event & { request: string };
  const isOf = ({ event }: { event: DeferrableEvent }) =>
    event.request === request;
  const dropped = catchUp.deferred.filter(isOf);
  if (dropped.length === 0) return;
  catchUp.deferred = catchUp.deferred.filter((each) => !isOf(each));
  catchUp.droppedCount += dropped.length;
  yield {
    kind: "log",
    event: "deferred_dropped",
    fields: {
      request,
      waited: dropped[0]!.event.kind,
      waitMs: Math.round(now - dropped[0]!.event.at),
    },
  };
}

/** Handles a read of all sockets: ends catching up once nothing late can be left. */
export function* recordRead(state: State): Effects {
  const { catchUp, now } = state;
  if (catchUp.lateAtRead === undefined) return;
  catchUp.reads += 1;
  const readsSince = catchUp.reads - catchUp.lateAtRead;
  const isDone = readsSince >= READS_BEFORE_DECISION &&
    catchUp.deferred.length === 0;
  if (!isDone) return;
  const { deferredCount, droppedCount } = catchUp;
  catchUp.lateAtRead = undefined;
  catchUp.deferredCount = 0;
  catchUp.droppedCount = 0;
  yield {
    kind: "log",
    event: "caught_up",
    fields: {
      tookMs: Math.round(now - catchUp.since),
      deferred: deferredCount,
      dropped: droppedCount,
    },
  };
}
