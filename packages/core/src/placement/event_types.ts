/**
 * Events of placement.
 *
 * @module
 */
import type { LogPosition } from "../store_timeline/position.ts";

/** Every event of placement, without the time at which it happened. */
export type PlacementEvent =
  /** All evacuated zones, as read from the store or passed on by an upstream. */
  | { kind: "evacuations_read"; zones: string[]; position: LogPosition }
  /** Changes that were read from the store; a zone is in one of the lists only. */
  | {
    kind: "evacuations_changed";
    evacuated: string[];
    lifted: string[];
    position: LogPosition;
  };
