/**
 * Lists the parts under suspicion for daemons that know none of them yet.
 *
 * @module
 */
import type { PartReading, Quarantine } from "./types.ts";

/** Returns the records of all parts under suspicion, with the time since their last crash or trial. */
export function listReadings(
  { suspects }: Quarantine,
  now: number,
): PartReading[] {
  return [...suspects.values()].map(({ record, heldSince }) => ({
    record,
    ageMs: Math.max(0, now - heldSince),
  }));
}
