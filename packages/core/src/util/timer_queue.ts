/**
 * A priority queue of timers, stored as data, that the reducer drains as event times advance.
 *
 * @module
 */
import TinyQueue from "tinyqueue";

/** A timer; the reducer chooses its handler by kind once it is due. */
export type Timer =
  | { kind: "request_expiry"; request: string }
  | { kind: "request_retry"; request: string }
  | { kind: "stream_stall"; request: string; attempt: number }
  | { kind: "member_check"; target: string }
  | { kind: "ejection_end"; target: string }
  | { kind: "backoff_end"; target: string }
  | { kind: "housekeeping" }
  | { kind: "peer_digest" }
  | { kind: "append_retry" }
  | { kind: "preempt_check"; pool: string }
  | { kind: "drain_check" }
  | { kind: "gateway_sweep" };

interface Entry {
  at: number;
  sequence: number;
  timer: Timer;
}

/** Timers ordered by time, then by insertion. */
export interface TimerQueue {
  heap: TinyQueue<Entry>;
  sequence: number;
}

function compareEntries(left: Entry, right: Entry): number {
  return left.at - right.at || left.sequence - right.sequence;
}

/** Creates an empty timer queue. */
export function createTimerQueue(): TimerQueue {
  return { heap: new TinyQueue<Entry>([], compareEntries), sequence: 0 };
}

/** Schedules `timer` for time `at` (monotonic ms). */
export function schedule(
  queue: TimerQueue,
  at: number,
  { timer }: { timer: Timer },
): void {
  queue.sequence += 1;
  queue.heap.push({ at, sequence: queue.sequence, timer });
}

/** Removes and returns the next timer due by `now`, if any. */
export function popDue(queue: TimerQueue, now: number): Timer | undefined {
  const next = queue.heap.peek();
  if (next === undefined || next.at > now) return undefined;
  return queue.heap.pop()?.timer;
}
