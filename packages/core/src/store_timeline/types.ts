/**
 * Types of the store's timelines: what a daemon knows of restorations of the store from an older copy.
 *
 * @module
 */
import type { RoutingDocument } from "../gateway/fleet_types.ts";

/** Oldest configuration that may be in force in a timeline of the store: the one that was when the timeline began. */
export interface TimelineFloor {
  timeline: number;
  version: number;
}

/** A configuration from the store that may be older than the one in force at other daemons. */
export interface HeldRouting {
  document: RoutingDocument;
  confirmedAt: number;
  /** Time at which the first one was held back, ms. */
  since: number;
}

/** What a daemon knows of the store's timeline. */
export interface StoreTimeline {
  /** Number of the newest timeline; undefined before the first response. */
  current: number | undefined;
  /** Time at which this daemon learned that the store was restored, ms. */
  restoredAt: number;
  /** True from a restoration until the list of runners was read again for what is still missing. */
  isRecheckDue: boolean;
  /** Time since which the store's configuration has been older than the one in force, ms; undefined where it is not. */
  behindSince: number | undefined;
  floor: TimelineFloor | undefined;
  /** Timeline for which this daemon has recorded a floor. */
  recordedTimeline: number | undefined;
  held: HeldRouting | undefined;
  /** Start times of the runners that have left, Unix ms, by id; the oldest first. */
  departed: Map<string, number>;
}
