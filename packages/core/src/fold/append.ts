/**
 * Appends records to the log. Each record keeps one id and is retried under it until the fold has processed that id.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import { schedule } from "../util/timer_queue.ts";
import { SUPPORTED_LEVEL } from "./constants.ts";
import type { LogRecord, RecordBody } from "./types.ts";

/** Delay before an append with an unknown outcome is retried under the same ids, ms. */
export const APPEND_RETRY_MS = 1_000;
/** Records in one retried append, so that nine entries catching up together stay below 300 records a second. */
const MAX_RETRY_BATCH = 25;

/** Creates a record with a new id of this incarnation. */
export function createRecord(state: State, body: RecordBody): LogRecord {
  const id = `${state.node.name}/${state.node.incarnation}/${state.log.nextId}`;
  state.log.nextId += 1;
  return { ...body, id, level: SUPPORTED_LEVEL };
}

/** Appends a record to the log and keeps it pending until the fold has processed its id. */
export function* appendRecord(state: State, record: LogRecord): Effects {
  state.log.pending.set(record.id, record);
  state.log.inFlight.add(record.id);
  yield { kind: "append", records: [record] };
}

/** Stops retrying a pending record; only safe where a late append does no harm. */
export function removePendingRecord(state: State, id: string): void {
  state.log.pending.delete(id);
  state.log.stored.delete(id);
}

/** Handles the end of the driver's append; one with an unknown outcome is retried later under the same ids. */
export function* completeAppend(
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
  if (listRetryable(state).length > 0) scheduleRetry(state);
}

/** Schedules the next retry, with jitter so that entries do not retry at the same time. */
export function scheduleRetry(state: State): void {
  if (state.log.retryAt > state.now) return;
  const delayMs = APPEND_RETRY_MS * (1 + nextFloat(state.random) / 4);
  state.log.retryAt = state.now + delayMs;
  schedule(state.timers, state.log.retryAt, {
    timer: { kind: "append_retry" },
  });
}

// Records that are stored or in flight only wait to be folded.
function listRetryable(state: State): LogRecord[] {
  const due: LogRecord[] = [];
  for (const record of state.log.pending.values()) {
    const { id } = record;
    if (state.log.inFlight.has(id) || state.log.stored.has(id)) continue;
    due.push(record);
    if (due.length >= MAX_RETRY_BATCH) break;
  }
  return due;
}

/** Retries pending records that are neither stored nor in flight, a bounded number at a time. */
export function* retryAppends(state: State): Effects {
  const due = listRetryable(state);
  if (due.length === 0) return;
  for (const { id } of due) state.log.inFlight.add(id);
  yield { kind: "append", records: due };
}
