/**
 * Shares records of parts of prompts with the other daemons: reads those in the store, and writes what changes here.
 *
 * @module
 */
import type { EventBody, LogEventName, PartRecord } from "@primroseshed/core";
import type { PartRegistry } from "./adapters.ts";
import { subscribeToTopic } from "./topic_subscription.ts";

/** Options of {@link startPartSharing}. */
export interface PartSharingOptions {
  registry: PartRegistry;
  /** Longest time for which a read waits for a change, ms. */
  waitMs: number;
  /** True where this daemon reads the store at first. */
  isEnabled: boolean;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** The shared records of parts of prompts. */
export interface PartSharing {
  /** Begins to read the records, or ends it; writes go on. */
  setEnabled(isEnabled: boolean): void;
  write(records: readonly PartRecord[]): void;
  delete(parts: readonly string[]): void;
  /** Reads again what was read in another timeline of the store. */
  catchUp(timeline: number): void;
  stop(): void;
}

/** Time for which changes of other daemons are batched into one read, ms. */
const BATCH_DELAY_MS = 30;
/** Pause after a failed write, ms. */
const RETRY_MS = 500;
/** Largest number of records in one write. */
const MAX_BATCH = 200;
/** Largest number of parts that wait to be written; the oldest are dropped beyond it. */
const MAX_PENDING = 1_000;

/** Starts to share records. */
export function startPartSharing(
  { registry, waitMs, isEnabled, dispatch, log }: PartSharingOptions,
): PartSharing {
  /** The newest record of each part that is to be written; undefined where it is to be deleted. */
  const pending = new Map<string, PartRecord | undefined>();
  let isWriting = false;
  let isStopped = false;
  const subscription = subscribeToTopic({
    name: "suspect_parts",
    topic: registry.parts,
    waitMs,
    isConfirmed: () => true,
    batchDelayMs: () => BATCH_DELAY_MS,
    onUpdate({ records }) {
      const readings = records.flatMap(({ value }) => value ?? []);
      if (readings.length > 0) dispatch({ kind: "parts_read", readings });
    },
    log,
  }, { isEnabled });

  function enqueue(part: string, record: PartRecord | undefined): void {
    pending.delete(part);
    pending.set(part, record);
    if (pending.size > MAX_PENDING) {
      pending.delete(pending.keys().next().value!);
    }
  }

  async function writeBatch(): Promise<void> {
    const batch = [...pending].slice(0, MAX_BATCH);
    for (const [part] of batch) pending.delete(part);
    try {
      const records = batch.flatMap(([, record]) => record ?? []);
      const deleted = batch.filter(([, record]) => record === undefined);
      if (records.length > 0) await registry.write(records);
      if (deleted.length > 0) {
        await registry.delete(deleted.map(([part]) => part));
      }
    } catch (error) {
      log("parts_unshared", {
        parts: batch.length,
        cause: (error as Error).message,
      });
      for (const [part, record] of batch) {
        if (!pending.has(part)) enqueue(part, record);
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }

  async function writePending(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    while (pending.size > 0 && !isStopped) await writeBatch();
    isWriting = false;
  }

  return {
    setEnabled: (value) => subscription.setEnabled(value),
    write(records) {
      for (const record of records) enqueue(record.part, record);
      void writePending();
    },
    delete(parts) {
      for (const part of parts) enqueue(part, undefined);
      void writePending();
    },
    catchUp: (timeline) => subscription.catchUp(timeline),
    stop() {
      isStopped = true;
      subscription.stop();
    },
  };
}
