/**
 * Reads the control stream continuously and appends records to it in batches.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { EventBody, FoldDump, LogRecord, State } from "@primroseshed/core";
import {
  CONTROL_STREAM,
  type LogClient,
  SNAPSHOT_STREAM,
} from "./log_client.ts";

/** Options of {@link createLogTail}. */
export interface LogTailOptions {
  client: LogClient;
  state: State;
  dispatch(event: EventBody): void;
  /** Longest wait for a new record, ms. */
  pollMs: number;
  /** Records are batched into one append for this long, ms. */
  groupCommitMs: number;
}

/** Reader and writer of the log. */
export interface LogTail {
  /** Queues records for the next batch. */
  append(records: readonly LogRecord[]): void;
  /** Loads the newest snapshot, then continues reading from it. */
  reload(): void;
  writeSnapshot(record: LogRecord): void;
  stop(): void;
}

const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 2_000;
const MAX_BATCH_RECORDS = 500;

/** Starts to read the log. */
export function createLogTail(
  { client, state, dispatch, pollMs, groupCommitMs }: LogTailOptions,
): LogTail {
  let stopped = false;
  let mustLoadSnapshot = true;
  let queue: LogRecord[] = [];
  let flushTimer: NodeJS.Timeout | undefined;

  async function loadSnapshot(): Promise<void> {
    const { head } = await client.read(SNAPSHOT_STREAM, { from: 0, limit: 1 });
    if (head === 0) return;
    const { records } = await client.read(SNAPSHOT_STREAM, {
      from: head,
      limit: 1,
    });
    const dump =
      (records[0]?.record as unknown as { state?: FoldDump } | undefined)
        ?.state;
    if (dump !== undefined) {
      dispatch({ kind: "fold_restored", dump, source: "snapshot" });
    }
  }

  async function readOnce(): Promise<void> {
    if (mustLoadSnapshot) await loadSnapshot();
    mustLoadSnapshot = false;
    const waitMs = state.caughtUp && state.log.reachable ? pollMs : 0;
    const page = await client.read(CONTROL_STREAM, {
      from: state.fold.next,
      waitMs,
    });
    if (stopped) return;
    dispatch({ kind: "log_read", ...page });
  }

  async function readContinuously(): Promise<void> {
    let pauseMs = RETRY_MIN_MS;
    while (!stopped) {
      try {
        await readOnce();
        pauseMs = RETRY_MIN_MS;
      } catch {
        if (stopped) return;
        dispatch({ kind: "log_unreachable" });
        await sleep(pauseMs * (0.5 + Math.random()));
        pauseMs = Math.min(RETRY_MAX_MS, pauseMs * 2);
      }
    }
  }

  async function flush(): Promise<void> {
    flushTimer = undefined;
    const records = queue.slice(0, MAX_BATCH_RECORDS);
    queue = queue.slice(MAX_BATCH_RECORDS);
    if (queue.length > 0) scheduleFlush();
    const ids = records.map(({ id }) => id);
    try {
      await client.append(CONTROL_STREAM, records);
      dispatch({ kind: "append_completed", ids, stored: true });
    } catch {
      dispatch({ kind: "append_completed", ids, stored: false });
    }
  }

  function scheduleFlush(): void {
    flushTimer ??= setTimeout(() => void flush(), groupCommitMs);
  }

  void readContinuously();
  return {
    append(records) {
      queue.push(...records);
      scheduleFlush();
    },
    reload() {
      mustLoadSnapshot = true;
    },
    writeSnapshot(record) {
      client.append(SNAPSHOT_STREAM, [record]).catch(() => undefined);
    },
    stop() {
      stopped = true;
      clearTimeout(flushTimer);
    },
  };
}
