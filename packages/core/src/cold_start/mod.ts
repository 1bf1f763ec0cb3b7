/**
 * Cold starts: which runners are cold until when, and how their work grows once they are warm.
 *
 * @module
 */
export {
  activeColdStart,
  coldStartOf,
  isCold,
  slowStartFactor,
  weighOccupancy,
} from "./cold_runners.ts";
export {
  coolZone,
  recordColdReport,
  recordEntry,
  sweepColdRunners,
} from "./record.ts";
export type { ColdCause, ColdRunner } from "./types.ts";
