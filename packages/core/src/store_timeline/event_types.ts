/**
 * Events of the store's timelines.
 *
 * @module
 */
import type { TimelineFloor } from "./types.ts";

/** Every event of the store's timelines, without the time at which it happened. */
export type TimelineEvent =
  /** A response of the store belongs to this timeline. */
  | { kind: "timeline_seen"; timeline: number }
  | { kind: "floors_read"; floors: readonly TimelineFloor[] };
