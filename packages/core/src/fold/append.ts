/**
 * Appends records to the log: each under one id, repeated until it is seen in the fold.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import { schedule } from "../util/timer_queue.ts";
import { SUPPORTED_LEVEL } from "./constants.ts";
import type { LogRecord, RecordBody } from "./types.ts";

/** Pause before an append whose outcome is unknown is repeated under the same ids. */
export const APPEND_RETRY_MS = 1_000;
/** Records in one repeated append; nine entries that catch up together keep to 300 a second. */
const MAX_RETRY_BATCH = 25;

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
  state.log.stored.delete(id);
}

/** Notes that the driver's append ended; an unknown outcome is repeated later under the same ids. */
export function* settleAppend(
  state: State,
  ids: readonly string[],
  { stored }: { stored: boolean },
): Effects {
  for (const id of ids) {
    state.log.inFlight.delete(id);
    if (stored) state.log.stored.add(id);
  }
  if (!stored) {
    yield {
      kind: "log",
      event: "claim_unknown",
      fields: { records: ids.length },
    };
  }
  if (listDue(state).length > 0) scheduleRetry(state);
}

/** Schedules the next repeat, at a different time at each entry. */
export function scheduleRetry(state: State): void {
  if (state.log.retryAt > state.now) return;
  const pauseMs = APPEND_RETRY_MS * (1 + nextFloat(state.random) / 4);
  state.log.retryAt = state.now + pauseMs;
  schedule(state.timers, state.log.retryAt, {
    timer: { kind: "append_retry" },
  });
}

// Records that are stored, or on their way, only wait to be folded.
function listDue(state: State): LogRecord[] {
  const due: LogRecord[] = [];
  for (const record of state.log.pending.values()) {
    const { id } = record;
    if (state.log.inFlight.has(id) || state.log.stored.has(id)) continue;
    due.push(record);
    if (due.length >= MAX_RETRY_BATCH) break;
  }
  return due;
}

/** Repeats pending records that are neither stored nor on their way, a bounded number at a time. */
export function* retryAppends(state: State): Effects {
  const due = listDue(state);
  if (due.length === 0) return;
  for (const { id } of due) state.log.inFlight.add(id);
  yield { kind: "append", records: due };
}
