/**
 * Writes numbered log events as JSON lines; limits their number and never waits for the reader.
 *
 * @module
 */
import process from "node:process";
import { LOG_EVENTS, type LogEventName } from "@primroseshed/core";
import winston from "winston";
import { monotonicNow } from "../driver/driver.ts";
import { createLogBudget, LOG_LIMITS, type LogLimits } from "./log_budget.ts";

/** Fields of a log event. */
export type LogFields = Record<string, unknown>;

/** Writer of numbered events. */
export interface Logger {
  write(event: LogEventName, fields?: LogFields): void;
  /** Changes the lowest severity that is written. */
  setLevel(level: string): void;
  /** Returns the number of lines dropped since the start because there were too many or the reader did not keep up. */
  droppedLines(): number;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  level: string;
  node: string;
  to?: "stdout" | "stderr";
  limits?: LogLimits;
  /** Returns the number of written bytes that the reader has not read. */
  unreadBytes?: () => number;
  /** Destinations of lines, for tests. */
  transports?: winston.transport[];
}

/** Shortest time between two reports of dropped lines, ms. */
const REPORT_INTERVAL_MS = 1_000;

/** Creates a logger that writes JSON lines to the stream `to`, standard error by default. */
export function createLogger(
  { level, node, to = "stderr", limits = LOG_LIMITS, ...options }:
    LoggerOptions,
): Logger {
  // Node writes to a pipe without waiting and buffers what the reader has not read.
  const { unreadBytes = () => process[to].writableLength } = options;
  const stderrLevels = to === "stderr" ? ["error", "warn", "info"] : [];
  const { transports = [new winston.transports.Console({ stderrLevels })] } =
    options;
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    defaultMeta: { node },
    transports,
  });
  const budget = createLogBudget(limits);
  let dropped = 0;
  let reportedAt = -Infinity;

  function writeLine(event: LogEventName, fields: LogFields): void {
    const { number, severity, text } = LOG_EVENTS[event];
    logger.log({ ...fields, level: severity, message: text, event, number });
  }

  function reportDropped(now: number): void {
    if (now - reportedAt < REPORT_INTERVAL_MS) return;
    const count = budget.resetDropped();
    if (count === 0) return;
    reportedAt = now;
    dropped += count;
    writeLine("lines_left_out", { count, total: dropped });
  }

  return {
    setLevel(next) {
      logger.level = next;
    },
    droppedLines: () => dropped,
    write(event, fields = {}) {
      const { severity } = LOG_EVENTS[event];
      if (!logger.isLevelEnabled(severity)) return;
      const now = monotonicNow();
      const isAllowed = budget.tryAcquire(severity, {
        now,
        unreadBytes: unreadBytes(),
      });
      if (!isAllowed) return;
      writeLine(event, fields);
      reportDropped(now);
    },
  };
}
