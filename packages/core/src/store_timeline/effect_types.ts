/**
 * Effects of the store's timelines.
 *
 * @module
 */
import type { TimelineFloor } from "./types.ts";

/** Every effect of the store's timelines. */
export type TimelineEffect =
  /** Reads again whatever was read in an earlier timeline. */
  | { kind: "catch_up_with_store"; timeline: number }
  /** Registers this daemon in the store once more. */
  | { kind: "register_daemon" }
  /** Writes a floor into the store, for daemons that start later. */
  | { kind: "record_floor"; floor: TimelineFloor };
