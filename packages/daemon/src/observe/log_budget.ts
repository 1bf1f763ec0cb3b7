/**
 * Decides which log lines are left out when there are too many, or when their reader does not keep up.
 *
 * @module
 */

/** Severity of a log line. */
export type Severity = "error" | "warn" | "info";

/** Limits of {@link createLogBudget}. */
export interface LogLimits {
  /** Lines of severity `info` a second, on average. */
  linesPerSecond: number;
  /** Lines of severity `info` that may come at once. */
  burst: number;
  /** Nothing is written while the reader has left this much unread, bytes. */
  maxUnreadBytes: number;
}

/** Default limits: four lines for each of the 56 requests a second that a daemon of the target size serves, twice. */
export const LOG_LIMITS: LogLimits = {
  linesPerSecond: 450,
  burst: 1_800,
  maxUnreadBytes: 1024 * 1024,
};

/** Lets lines through up to its limits. */
export interface LogBudget {
  /** Returns true where the line may be written; counts it as left out otherwise. */
  take(
    severity: Severity,
    options: { now: number; unreadBytes: number },
  ): boolean;
  /** Returns the lines left out since the last call. */
  takeLeftOut(): number;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a budget of log lines; warnings and errors are not limited by rate, as they are few and explain the rest.
 *
 * @example
 * ```ts
 * const budget = createLogBudget(LOG_LIMITS);
 * budget.take("info", { now: 0, unreadBytes: 0 }); // true
 * ```
 */
export function createLogBudget(
  { linesPerSecond, burst, maxUnreadBytes }: LogLimits,
): LogBudget {
  let allowance = burst;
  let refilledAt: number | undefined;
  let leftOut = 0;

  function refill(now: number): void {
    const elapsed = now - (refilledAt ?? now);
    allowance = Math.min(
      burst,
      allowance + elapsed * linesPerSecond / MS_PER_SECOND,
    );
    refilledAt = now;
  }

  function isWithin(severity: Severity): boolean {
    if (severity !== "info") return true;
    if (allowance < 1) return false;
    allowance -= 1;
    return true;
  }

  return {
    take(severity, { now, unreadBytes }) {
      refill(now);
      if (unreadBytes <= maxUnreadBytes && isWithin(severity)) return true;
      leftOut += 1;
      return false;
    },
    takeLeftOut() {
      const count = leftOut;
      leftOut = 0;
      return count;
    },
  };
}
