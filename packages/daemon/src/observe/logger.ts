/**
 * Numbered log events as JSON lines.
 *
 * @module
 */
import { LOG_EVENTS, type LogEventName } from "@primroseshed/core";
import winston from "winston";

/** Fields of a log event. */
export type LogFields = Record<string, unknown>;

/** Writes numbered events. */
export interface Logger {
  write(event: LogEventName, fields?: LogFields): void;
}

/** Creates a logger that writes JSON lines to standard error. */
export function createLogger(
  { level, node }: { level: string; node: string },
): Logger {
  const stderrLevels = ["error", "warn", "info"];
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    defaultMeta: { node },
    transports: [new winston.transports.Console({ stderrLevels })],
  });
  return {
    write(event, fields = {}) {
      const { number, severity, text } = LOG_EVENTS[event];
      logger.log({ ...fields, level: severity, message: text, event, number });
    },
  };
}
