/**
 * Follows a keyed topic of the store, from the whole to each change.
 *
 * @module
 */
import type { LogEventName } from "@primroseshed/core";
import { monotonicNow } from "../driver/driver.ts";
import type { KeyedRecord, KeyedTopic } from "./adapters.ts";

/** News of a topic. */
export interface TopicNews<T> {
  records: KeyedRecord<T>[];
  /** True where `records` holds every key. */
  isWhole: boolean;
  /** The records are all that there was at this time at least, monotonic ms. */
  provedAt: number;
}

/** Options of {@link followTopic}. */
export interface FollowOptions<T> {
  /** Name in log events. */
  name: string;
  topic: KeyedTopic<T>;
  /** A read waits this long for a change, ms. */
  waitMs: number;
  /** True while the belief has any proof; without one, reads do not wait. */
  isProved(): boolean;
  /** Pause after a change, so that several are read at once, ms. */
  gatherMs(): number;
  onNews(news: TopicNews<T>): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Pause after the first failed read, ms; doubles up to {@link MAX_PAUSE_MS}. */
const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 400;
/** Pause after a read that found nothing and did not wait, ms. */
const LEAST_PAUSE_MS = 100;

/** Share of a wait that a proof counts, since the store's clock may run faster than this one. */
const TRUSTED_WAIT_SHARE = 0.95;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Returns up to when a read that found nothing proves that there was nothing.
 *
 * The store looks last at the end of the wait that it was allowed, so the proof reaches that far where it has waited.
 *
 * @example
 * ```ts
 * provedAtOf({ sentAt: 100, waited: 1_504, allowedMs: 1_500 }); // 1,525: less a margin for clocks that run apart
 * ```
 */
export function provedAtOf(
  { sentAt, waited, allowedMs }: {
    sentAt: number;
    waited: number;
    allowedMs: number;
  },
): number {
  return waited < allowedMs ? sentAt : sentAt + allowedMs * TRUSTED_WAIT_SHARE;
}

/** Follows a topic until the returned function is called. */
export function followTopic<T>(
  { name, topic, waitMs, isProved, gatherMs, onNews, log }: FollowOptions<T>,
): () => void {
  let isStopped = false;
  let next: number | undefined;
  let failures = 0;

  async function step(): Promise<number> {
    const sentAt = monotonicNow();
    if (next === undefined) {
      const whole = await topic.readAll();
      next = whole.next;
      report({ records: whole.records, isWhole: true, provedAt: sentAt });
      return 0;
    }
    // After a failure or a suspension the belief is old, and an answer at once makes it young again.
    const allowedMs = failures > 0 || !isProved() ? 0 : waitMs;
    const read = await topic.readFrom(next, { waitMs: allowedMs });
    if (read.kind === "trimmed") {
      log("log_trimmed", { topic: name, offset: next });
      next = undefined;
      return 0;
    }
    next = read.next;
    const { records } = read;
    const waited = monotonicNow() - sentAt;
    const provedAt = records.length > 0
      ? sentAt
      : provedAtOf({ sentAt, waited, allowedMs });
    report({ records, isWhole: false, provedAt });
    if (records.length > 0) return gatherMs();
    // A store that does not wait must not be asked in a tight loop.
    return waited < allowedMs / 2 ? LEAST_PAUSE_MS : 0;
  }

  function report(news: TopicNews<T>): void {
    for (const { key, problem } of news.records) {
      if (problem !== undefined) {
        log("entry_unreadable", { topic: name, key, problem });
      }
    }
    if (!isStopped) onNews(news);
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      try {
        const pause = await step();
        if (failures > 0) log("belief_regained", { topic: name, failures });
        failures = 0;
        if (pause > 0) await sleep(pause);
      } catch (error) {
        failures += 1;
        if (failures === 1) {
          log("belief_lost", { topic: name, cause: (error as Error).message });
        }
        await sleep(Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures));
      }
    }
  }

  void run();
  return () => {
    isStopped = true;
  };
}
