/**
 * Systems under test: as in the demo, but quick to start and silent.
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

/** Starts a system with short intervals. */
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
