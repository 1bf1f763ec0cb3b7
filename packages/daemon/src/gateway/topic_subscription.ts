/**
 * Subscribes to a keyed topic of the store: reads all its records once, then each change.
 *
 * Reads wait in the store for a change, so a read that finds nothing confirms that the known records are current. A
 * subscription that is paused makes no calls; it begins with all records again.
 *
 * @module
 */
import {
  answerLimitOf,
  type LogEventName,
  type LogPosition,
  nextWaitOf,
  TRUSTED_WAIT_SHARE,
} from "@primroseshed/core";
import { monotonicNow } from "../driver/driver.ts";
import type { KeyedRecord, KeyedTopic } from "./adapters.ts";

/** Result of one read of a topic. */
export interface TopicUpdate<T> {
  records: KeyedRecord<T>[];
  /** True if `records` holds every key of the topic. */
  isWhole: boolean;
  /** Position after the newest of these records. */
  position: LogPosition;
  /** The topic held no newer records than these up to this time, monotonic ms. */
  confirmedAt: number;
}

/** Options of {@link subscribeToTopic}. */
export interface SubscriptionOptions<T> {
  /** Name in log events. */
  name: string;
  topic: KeyedTopic<T>;
  /** Longest time for which a read waits for a change, ms. */
  waitMs: number;
  /** Returns true while the known records are confirmed as current; otherwise reads do not wait. */
  isConfirmed(): boolean;
  /** Returns the pause after a change that batches several changes into one read, ms. */
  batchDelayMs(): number;
  /** Returns by how much the event loop is late, ms: for so long an answer may have waited to be read. */
  lateMs?(): number;
  onUpdate(update: TopicUpdate<T>): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Half the pause after the first failed read, ms; the pause doubles with each failure up to {@link MAX_PAUSE_MS}. */
const BASE_PAUSE_MS = 50;
const MAX_PAUSE_MS = 400;
/** Pause after a read that found nothing and returned without waiting, ms. */
const MIN_PAUSE_MS = 100;

/**
 * Returns the time up to which a read without records confirms that there were none, monotonic ms.
 *
 * The store checks for records until the end of the allowed wait, so a read that waited in full confirms up to that
 * time, less a margin; one that returned sooner confirms only up to when it was sent.
 *
 * @example
 * ```ts
 * // The margin covers clocks that run at different rates.
 * confirmedAtOf({ sentAt: 100, waitedMs: 1_504, allowedMs: 1_500 }); // 1,525
 * ```
 */
export function confirmedAtOf(
  { sentAt, waitedMs, allowedMs }: {
    sentAt: number;
    waitedMs: number;
    allowedMs: number;
  },
): number {
  return waitedMs < allowedMs
    ? sentAt
    : sentAt + allowedMs * TRUSTED_WAIT_SHARE;
}

/** A subscription to a topic. */
export interface Subscription {
  /** Pauses the reads, or begins them again with all records. */
  setEnabled(isEnabled: boolean): void;
  /** Reads all records again. */
  reread(): void;
  /** Reads all records again, unless those known are of this timeline of the store. */
  catchUp(timeline: number): void;
  /** Ends the subscription. */
  stop(): void;
}

/** Subscribes to a topic. */
export function subscribeToTopic<T>(
  {
    name,
    topic,
    waitMs,
    isConfirmed,
    batchDelayMs,
    lateMs = () => 0,
    onUpdate,
    log,
  }: SubscriptionOptions<T>,
  { isEnabled: isEnabledAtFirst = true }: { isEnabled?: boolean } = {},
): Subscription {
  let isStopped = false;
  let isEnabled = isEnabledAtFirst;
  /** Number of the current pass over the topic; the results of reads of an earlier one are dropped. */
  let pass = 0;
  let next: LogPosition | undefined;
  let failures = 0;
  /** Time that the last answer took beyond its wait, ms. */
  let answerMs = 0;
  /** Time up to which the last read has confirmed the known records, monotonic ms. */
  let lastConfirmedAt = -Infinity;
  let wake: (() => void) | undefined;

  async function readOnce(current: number): Promise<number> {
    const sentAt = monotonicNow();
    const publish = (update: TopicUpdate<T>) => {
      if (current !== pass) return;
      next = update.position;
      lastConfirmedAt = update.confirmedAt;
      deliver(update);
    };
    if (next === undefined) {
      const { records, next: position } = await topic.readAll();
      publish({ records, isWhole: true, position, confirmedAt: sentAt });
      return 0;
    }
    // After a failure or a suspension the last confirmation is old; a read that does not wait renews it at once.
    const allowedMs = failures > 0 || !isConfirmed()
      ? 0
      : nextWaitOf(waitMs, { answerMs, ageMs: sentAt - lastConfirmedAt });
    const read = await topic.readFrom(next, {
      waitMs: allowedMs,
      answerMs: answerLimitOf({ answerMs, failures }),
    });
    if (current !== pass) return 0;
    if (read.kind !== "records") {
      const { timeline, offset } = next;
      if (read.kind === "trimmed") log("log_trimmed", { topic: name, offset });
      else {
        log("store_restored", {
          topic: name,
          timeline: read.timeline,
          before: timeline,
          offset,
        });
      }
      next = undefined;
      return 0;
    }
    const { records, next: position } = read;
    const waitedMs = monotonicNow() - sentAt - lateMs();
    if (waitedMs >= allowedMs) answerMs = waitedMs - allowedMs;
    const confirmedAt = records.length > 0
      ? sentAt
      : confirmedAtOf({ sentAt, waitedMs, allowedMs });
    publish({ records, isWhole: false, position, confirmedAt });
    // This read confirms no more than what was so when it was sent.
    if (records.length > 0) {
      return Math.min(batchDelayMs(), Math.max(0, waitMs - waitedMs));
    }
    // Prevents a tight loop if the store does not wait.
    return waitedMs < allowedMs / 2 ? MIN_PAUSE_MS : 0;
  }

  function deliver(update: TopicUpdate<T>): void {
    for (const { key, problem } of update.records) {
      if (problem !== undefined) {
        log("entry_unreadable", { topic: name, key, problem });
      }
    }
    onUpdate(update);
  }

  function pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  async function run(current: number): Promise<void> {
    while (current === pass) {
      try {
        const pauseMs = await readOnce(current);
        if (failures > 0) log("belief_regained", { topic: name, failures });
        failures = 0;
        if (pauseMs > 0 && current === pass) await pause(pauseMs);
      } catch (error) {
        if (current !== pass) return;
        failures += 1;
        if (failures === 1) {
          log("belief_lost", { topic: name, cause: (error as Error).message });
        }
        await pause(Math.min(MAX_PAUSE_MS, BASE_PAUSE_MS * 2 ** failures));
      }
    }
  }

  function restart(): void {
    pass += 1;
    next = undefined;
    wake?.();
    if (isEnabled && !isStopped) void run(pass);
  }

  restart();
  return {
    setEnabled(value) {
      if (value === isEnabled) return;
      isEnabled = value;
      failures = 0;
      restart();
    },
    reread: () => isEnabled && restart(),
    catchUp(timeline) {
      if (isEnabled && next?.timeline !== timeline) restart();
    },
    stop() {
      isStopped = true;
      restart();
    },
  };
}
