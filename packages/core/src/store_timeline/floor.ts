/**
 * Keeps a daemon that starts from taking up a configuration that is older than the one in force elsewhere.
 *
 * A daemon that lived through a restoration of the store records the version that it had in force. One that starts
 * afterwards waits until the store holds this version, or a newer one, again.
 *
 * @module
 */
import type { Gateway } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { FLOOR_WAIT_MS, MAX_HOLD_MS, ORIGINAL_TIMELINE } from "./constants.ts";
import type { HeldRouting, TimelineFloor } from "./types.ts";

/** Returns whether a configuration from the store may come into force at a daemon that has none yet. */
export function mayBegin(
  { settings, storeTimeline }: Gateway,
  { document, since }: HeldRouting,
  now: number,
): boolean {
  const { floor, current } = storeTimeline;
  const isOriginal = current === undefined || current === ORIGINAL_TIMELINE;
  if (settings.firstStart || isOriginal) return true;
  const waitedMs = now - since;
  if (floor === undefined || floor.timeline !== current) {
    return waitedMs >= FLOOR_WAIT_MS;
  }
  return document.version >= floor.version || waitedMs >= MAX_HOLD_MS;
}

/** Keeps the highest floor of the newest timeline. */
export function mergeFloors(
  known: TimelineFloor | undefined,
  floors: readonly TimelineFloor[],
): TimelineFloor | undefined {
  return floors.reduce<TimelineFloor | undefined>((best, floor) => {
    if (best === undefined || floor.timeline > best.timeline) return floor;
    const isHigher = floor.timeline === best.timeline &&
      floor.version > best.version;
    return isHigher ? floor : best;
  }, known);
}

/** Records the configuration in force as the floor of the store's timeline, once for each timeline. */
export function* recordFloor({ gateway }: State): Effects {
  const { storeTimeline, routing, readSharing } = gateway!;
  const { current, recordedTimeline, floor: known } = storeTimeline;
  if (routing === undefined || current === undefined) return;
  if (!readSharing.isReading || recordedTimeline === current) return;
  storeTimeline.recordedTimeline = current;
  const { version } = routing.document;
  const isKnown = known?.timeline === current && known.version >= version;
  if (isKnown) return;
  yield { kind: "record_floor", floor: { timeline: current, version } };
}
