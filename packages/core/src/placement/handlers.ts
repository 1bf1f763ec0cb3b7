/**
 * Handles what the store, or an upstream, says of evacuated availability zones.
 *
 * A set that is older than the known one is no news, so that a daemon that changes its source never goes back. After
 * the store came back from an older copy, what was evacuated stays so until an operator deletes the key again, or until
 * the operators have had the time to write it again.
 *
 * @module
 */
import { coolZone } from "../cold_start/mod.ts";
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { applyTimeline } from "../store_timeline/handlers.ts";
import { isBefore, type LogPosition } from "../store_timeline/position.ts";
import { isRewriting } from "../store_timeline/timeline.ts";
import { listEvacuatedZones } from "./evacuations.ts";

import type { Placement } from "./types.ts";

function isOutdated({ gateway }: State, position: LogPosition): boolean {
  const known = gateway!.placement.position;
  return known !== undefined && isBefore(position, known);
}

/** Handles a whole set of evacuated zones, which replaces the known one. */
export function* applyEvacuations(
  state: State,
  { zones, position }: EventOf<"evacuations_read">,
): Effects {
  const gateway = state.gateway!;
  const known = gateway.placement.position;
  // The set of an upstream arrives before its answer, which names the store's timeline.
  if (known !== undefined && known.timeline < position.timeline) {
    yield* applyTimeline(state, position);
  }
  if (isOutdated(state, position)) return;
  const listed = new Set(zones);
  const retained = isRewriting(gateway.storeTimeline, state.now)
    ? listEvacuatedZones(gateway).filter((zone) => !listed.has(zone))
    : [];
  yield* putInForce(state, { listed, retained: new Set(retained), position });
}

/** Handles evacuations that were ordered or lifted since the last read. */
export function* applyEvacuationChanges(
  state: State,
  { evacuated, lifted, position }: EventOf<"evacuations_changed">,
): Effects {
  const { placement } = state.gateway!;
  if (isOutdated(state, position)) return;
  const changed = new Set([...evacuated, ...lifted]);
  const unchangedOf = (zones: ReadonlySet<string>) =>
    [...zones].filter((zone) => !changed.has(zone));
  yield* putInForce(state, {
    listed: new Set([...unchangedOf(placement.listed), ...evacuated]),
    retained: new Set(unchangedOf(placement.retained)),
    position,
  });
}

/** Lifts the evacuations that a restored store does not list, once there was time to write them again. */
export function* sweepEvacuations(state: State): Effects {
  const { placement, storeTimeline } = state.gateway!;
  if (placement.retained.size === 0) return;
  if (isRewriting(storeTimeline, state.now)) return;
  yield* putInForce(state, { ...placement, retained: new Set() });
}

function* putInForce(state: State, next: Placement): Effects {
  const gateway = state.gateway!;
  const retainedBefore = gateway.placement.retained;
  const before = listEvacuatedZones(gateway);
  gateway.placement = next;
  const after = listEvacuatedZones(gateway);
  for (const zone of after) {
    if (before.includes(zone)) continue;
    yield logZone("zone_evacuated", zone, next);
  }
  for (const zone of next.retained) {
    if (retainedBefore.has(zone)) continue;
    yield logZone("evacuation_retained", zone, next);
  }
  for (const zone of before) {
    if (after.includes(zone)) continue;
    yield logZone("evacuation_lifted", zone, next);
    yield* coolZone(state, zone);
  }
}

function logZone(
  event: "zone_evacuated" | "evacuation_retained" | "evacuation_lifted",
  zone: string,
  { position }: Placement,
) {
  const { timeline, offset } = position!;
  return { kind: "log" as const, event, fields: { zone, timeline, offset } };
}
