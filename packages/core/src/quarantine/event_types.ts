/**
 * Events of the quarantine.
 *
 * @module
 */
import type { PartReading } from "./types.ts";

/** Every event of the quarantine, without the time at which it happened. */
export type QuarantineEvent =
  /** Records of parts that other daemons, or earlier processes, have shared. */
  { kind: "parts_read"; readings: readonly PartReading[] };
