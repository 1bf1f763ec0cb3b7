/**
 * Reports errors that nothing else has handled, and ends the request to which they belong.
 *
 * @module
 */
import type { Effect, LogEventName } from "@primroseshed/core";

/** Reports of errors. */
export interface ErrorReport {
  /** Logs an error. */
  report(error: unknown): void;
  /** Logs the error of the reducer, or of an effect, and abandons the request of that effect. */
  reportFailure(error: unknown, failed: Effect | undefined): void;
}

/** Options of {@link createErrorReport}. */
export interface ErrorReportOptions {
  log(event: LogEventName, fields: Record<string, unknown>): void;
  /** Ends a request of which an effect has failed, so that its later effects find nothing to act on. */
  abandonRequest(request: string): void;
}

function causeOf(error: unknown): string | undefined {
  return error instanceof Error ? error.stack : String(error);
}

/**
 * Creates the reports of a daemon.
 *
 * @example
 * ```ts
 * const errors = createErrorReport({ log, abandonRequest });
 * work().catch(errors.report);
 * ```
 */
export function createErrorReport(
  { log, abandonRequest }: ErrorReportOptions,
): ErrorReport {
  return {
    report: (error) => log("internal_error", { cause: causeOf(error) }),
    reportFailure(error, failed) {
      const request = failed && "request" in failed
        ? failed.request
        : undefined;
      const effect = failed?.kind;
      log("internal_error", { cause: causeOf(error), effect, request });
      if (request !== undefined) abandonRequest(request);
    },
  };
}
