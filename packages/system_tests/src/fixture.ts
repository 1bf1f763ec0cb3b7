/**
 * Starts the demo system for tests, with short polling intervals and an in-memory logger.
 *
 * @module
 */
import type { Logger } from "@primroseshed/daemon";
import {
  startSystem,
  type System,
  type SystemOptions,
} from "@primroseshed/stand_ins";

/** A logger that keeps events in memory. */
export interface MemoryLogger extends Logger {
  events: { event: string; fields: Record<string, unknown> }[];
}

/** Creates a logger that keeps events in memory. */
export function createMemoryLogger(): MemoryLogger {
  const events: MemoryLogger["events"] = [];
  return {
    events,
    setLevel: () => undefined,
    droppedLines: () => 0,
    write(event, fields = {}) {
      events.push({ event, fields });
    },
  };
}

const QUICK_TIMING = {
  statusPollMs: 50,
  statusTimeoutMs: 200,
  vmListPollMs: 50,
  balancerLagMs: 50,
};

/** Starts a system with short polling intervals and an in-memory logger. */
export function startTestSystem(options: SystemOptions = {}): Promise<System> {
  const { overrides = {}, ...rest } = options;
  const timing = {
    ...QUICK_TIMING,
    ...overrides.timing as Record<string, number> | undefined,
  };
  return startSystem({
    logger: createMemoryLogger(),
    ...rest,
    overrides: { ...overrides, timing },
  });
}
