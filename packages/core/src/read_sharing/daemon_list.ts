/**
 * Keeps the list of the registered daemons, and the order in which this one would follow them.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { isRewriting } from "../store_timeline/timeline.ts";
import { FLEET_SIZE_MEMORY_MS } from "./constants.ts";
import { publishDaemons } from "./publish.ts";
import { measureFleet, rankDaemons } from "./ranking.ts";
import type { DaemonEntry, FleetSize, ReadSharing } from "./types.ts";
import { updateSource } from "./upstream.ts";

/** Handles a list of the registered daemons. */
export function* applyDaemons(
  state: State,
  { daemons, isWhole, isPassedOn }: EventOf<"daemons_read">,
): Effects {
  const { readSharing, storeTimeline } = state.gateway!;
  const { self } = readSharing;
  const isComplete = isWhole && !isRewriting(storeTimeline, state.now);
  const known = isComplete || readSharing.daemons === undefined
    ? new Map<string, DaemonEntry>()
    : readSharing.daemons;
  for (const daemon of daemons) {
    if (daemon.node === self?.node) continue;
    const before = readSharing.daemons?.get(daemon.node);
    if (before?.incarnation !== daemon.incarnation) {
      readSharing.avoided.delete(daemon.node);
    }
    known.set(daemon.node, daemon);
  }
  readSharing.daemons = known;
  if (self !== undefined) {
    readSharing.ranked = rankDaemons(self, { daemons: known.values() });
    const size = measureFleet(self, { daemons: known.values() });
    recordFleetSize(readSharing, size, state.now);
  }
  if (!isPassedOn) yield* publishDaemons(state, daemons);
  yield* updateSource(state);
}

/** Records the number of daemons; a smaller one only after a while, since a list from a store may lack some. */
function recordFleetSize(
  readSharing: ReadSharing,
  size: FleetSize,
  now: number,
): void {
  const { fleetSize, fleetSizeAt } = readSharing;
  const isSmaller = fleetSize !== undefined && size.count < fleetSize.count;
  if (isSmaller && now - fleetSizeAt < FLEET_SIZE_MEMORY_MS) return;
  readSharing.fleetSize = size;
  readSharing.fleetSizeAt = now;
}
