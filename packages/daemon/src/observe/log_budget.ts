/**
 * Decides which log lines are dropped when there are too many, or when their reader does not keep up.
 *
 * @module
 */

/** Severity of a log line. */
export type Severity = "error" | "warn" | "info";

/** Limits of {@link createLogBudget}. */
export interface LogLimits {
  /** Average number of lines of severity `info` per second. */
  linesPerSecond: number;
  /** Number of lines of severity `info` that may be written at once. */
  burst: number;
  /** All lines are dropped while the reader has left more than this unread, bytes. */
  maxUnreadBytes: number;
}

/** Default limits: twice the rate of a daemon of the target size, four lines for each of 56 requests a second. */
export const LOG_LIMITS: LogLimits = {
  linesPerSecond: 450,
  burst: 1_800,
  maxUnreadBytes: 1024 * 1024,
};

/** Budget of log lines. */
export interface LogBudget {
  /** Returns true if the line may be written; otherwise counts it as dropped. */
  tryAcquire(
    severity: Severity,
    options: { now: number; unreadBytes: number },
  ): boolean;
  /** Returns the number of lines dropped since the last call and sets it to zero. */
  resetDropped(): number;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a budget of log lines; warnings and errors have no rate limit, as they are few and explain the other lines.
 *
 * @example
 * ```ts
 * const budget = createLogBudget(LOG_LIMITS);
 * budget.tryAcquire("info", { now: 0, unreadBytes: 0 }); // true
 * ```
 */
export function createLogBudget(
  { linesPerSecond, burst, maxUnreadBytes }: LogLimits,
): LogBudget {
  let allowance = burst;
  let refilledAt: number | undefined;
  let dropped = 0;

  function refill(now: number): void {
    const elapsed = now - (refilledAt ?? now);
    allowance = Math.min(
      burst,
      allowance + elapsed * linesPerSecond / MS_PER_SECOND,
    );
    refilledAt = now;
  }

  function tryCharge(severity: Severity): boolean {
    if (severity !== "info") return true;
    if (allowance < 1) return false;
    allowance -= 1;
    return true;
  }

  return {
    tryAcquire(severity, { now, unreadBytes }) {
      refill(now);
      if (unreadBytes <= maxUnreadBytes && tryCharge(severity)) return true;
      dropped += 1;
      return false;
    },
    resetDropped() {
      const count = dropped;
      dropped = 0;
      return count;
    },
  };
}
