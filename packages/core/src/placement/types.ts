/**
 * Types of placement: which availability zones and regions may serve requests.
 *
 * @module
 */
import type { LogPosition } from "../store_timeline/position.ts";

/** The evacuated availability zones as of a position in the store. */
export interface Evacuations {
  zones: string[];
  position: LogPosition;
}

/** What a daemon knows of the evacuated availability zones; those of both sets are evacuated. */
export interface Placement {
  /** Zones in the newest set that was read or passed on. */
  listed: ReadonlySet<string>;
  /** Zones that were evacuated before the store came back from an older copy, and that the copy does not list. */
  retained: ReadonlySet<string>;
  /** Position of the newest set in the store; undefined before the first one. */
  position: LogPosition | undefined;
}
