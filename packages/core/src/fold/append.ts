/**
 * Appends records to the log: each under one id, repeated until it is seen in the fold.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { schedule } from "../util/timer_queue.ts";
import { SUPPORTED_LEVEL } from "./constants.ts";
import type { LogRecord, RecordBody } from "./types.ts";

/** Pause before an append whose outcome is unknown is repeated under the same ids. */
export const APPEND_RETRY_MS = 1_000;
/** Records in one repeated append, so that a long outage is caught up in bounded steps. */
const MAX_RETRY_BATCH = 200;

/** Creates a record under a fresh id of this incarnation. */
export function createRecord(state: State, body: RecordBody): LogRecord {
  const id = `${state.node.name}/${state.node.incarnation}/${state.log.nextId}`;
  state.log.nextId += 1;
  return { ...body, id, level: SUPPORTED_LEVEL };
}

/** Hands a record to the log and keeps it pending until the fold has met its id. */
export function* appendRecord(state: State, record: LogRecord): Effects {
  state.log.pending.set(record.id, record);
  state.log.inFlight.add(record.id);
  yield { kind: "append", records: [record] };
}

/** Gives up a pending record; only safe where a late append does no harm. */
export function forgetRecord(state: State, id: string): void {
  state.log.pending.delete(id);
}

/** Notes that the driver's append ended; an unknown outcome is repeated later under the same ids. */
export function* settleAppend(
  state: State,
  ids: readonly string[],
  { stored }: { stored: boolean },
): Effects {
  for (const id of ids) state.log.inFlight.delete(id);
  if (stored) return;
  yield {
    kind: "log",
    event: "claim_unknown",
    fields: { records: ids.length },
  };
  if (state.log.retryAt > state.now) return;
  state.log.retryAt = state.now + APPEND_RETRY_MS;
  schedule(state.timers, state.log.retryAt, {
    timer: { kind: "append_retry" },
  });
}

/** Repeats pending records that are not on their way. */
export function* retryAppends(state: State): Effects {
  const due = [...state.log.pending.values()].filter(({ id }) =>
    !state.log.inFlight.has(id)
  ).slice(0, MAX_RETRY_BATCH);
  if (due.length === 0) return;
  for (const { id } of due) state.log.inFlight.add(id);
  yield { kind: "append", records: due };
}
