/**
 * Virtual clock that runs queued actions in order of their times.
 *
 * @module
 */
import TinyQueue from "tinyqueue";

interface Action {
  at: number;
  sequence: number;
  run(): void;
}

/** Virtual clock of one simulation. */
export interface Clock {
  /** Current virtual time, ms. */
  now: number;
  /** Runs an action `delayMs` from now. */
  after(delayMs: number, run: () => void): void;
  /** Runs an action at a time, ms; a time in the past counts as now. */
  at(time: number, run: () => void): void;
  /** Runs all actions due up to `time` and sets the clock to it. */
  runUntil(time: number): void;
}

/** Creates a clock at 0 ms. */
export function createClock(): Clock {
  const queue = new TinyQueue<Action>(
    [],
    (left, right) => left.at - right.at || left.sequence - right.sequence,
  );
  let sequence = 0;
  const clock: Clock = {
    now: 0,
    after: (delayMs, run) => clock.at(clock.now + delayMs, run),
    at(time, run) {
      sequence += 1;
      queue.push({ at: Math.max(time, clock.now), sequence, run });
    },
    runUntil(time) {
      for (
        let next = queue.peek();
        next !== undefined && next.at <= time;
        next = queue.peek()
      ) {
        queue.pop();
        clock.now = next.at;
        next.run();
      }
      clock.now = time;
    },
  };
  return clock;
}
