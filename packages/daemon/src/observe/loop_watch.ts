/**
 * Reports how late the event loop runs: each delay to a histogram, long ones to the log.
 *
 * A daemon that is late hears of everything late, so its log has to tell its own delay from the silence of others, and
 * a process that was suspended from one that had too much to do.
 *
 * @module
 */
import { Histogram, type Registry } from "prom-client";
import type { LoopDelay } from "../driver/driver.ts";
import type { Logger } from "./logger.ts";

/** Delays from which on the log has a line, ms. */
const LOGGED_DELAY_MS = 200;
const DELAY_BUCKETS_S = [0.002, 0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];
const MS_PER_SECOND = 1_000;

/** Options of {@link createLoopWatch}. */
export interface LoopWatchOptions {
  registry: Registry;
  log: Logger["write"];
  /** Returns what the daemon is busy with, for the log line. */
  describeLoad(): Record<string, number>;
}

/**
 * Creates the function that the driver calls with each measured delay.
 *
 * @example
 * ```ts
 * const onDelay = createLoopWatch({ registry, log, describeLoad: () => ({ requests: 3 }) });
 * onDelay({ lateMs: 640, spanMs: 740, cpuMs: 12, events: 3 });
 * ```
 */
export function createLoopWatch(
  { registry, log, describeLoad }: LoopWatchOptions,
): (delay: LoopDelay) => void {
  const delays = new Histogram({
    name: "primrose_loop_delay_seconds",
    help: "Time by which timers of the event loop run late",
    buckets: DELAY_BUCKETS_S,
    registers: [registry],
  });
  return ({ lateMs, spanMs, cpuMs, events }) => {
    delays.observe(lateMs / MS_PER_SECOND);
    if (lateMs < LOGGED_DELAY_MS) return;
    log("loop_late", {
      lateMs: Math.round(lateMs),
      spanMs: Math.round(spanMs),
      cpuMs: Math.round(cpuMs),
      events,
      ...describeLoad(),
    });
  };
}
