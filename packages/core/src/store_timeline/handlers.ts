/**
 * Follows the store's timeline, and restores what a store that came back from an older copy of itself has lost.
 *
 * What this daemon knows stays in force: older data is no news. What the daemons themselves had written is written
 * again, and whatever was read in an earlier timeline is read again.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { applyRouting } from "../gateway/routing.ts";
import { shareRecords } from "../quarantine/sharing.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { mayBegin, mergeFloors, recordFloor } from "./floor.ts";
import { isRewriting } from "./timeline.ts";

/** Handles the timeline of a response of the store, which an upstream may have passed on. */
export function* applyTimeline(
  state: State,
  { timeline }: Pick<EventOf<"timeline_seen">, "timeline">,
): Effects {
  const { storeTimeline, readSharing } = state.gateway!;
  const { current: before } = storeTimeline;
  if (before !== undefined && timeline <= before) return;
  storeTimeline.current = timeline;
  if (before === undefined) return yield* recordFloor(state);
  yield { kind: "catch_up_with_store", timeline };
  storeTimeline.restoredAt = state.now;
  storeTimeline.isRecheckDue = true;
  yield {
    kind: "log",
    event: "timeline_began",
    fields: { timeline, before },
  };
  if (readSharing.self !== undefined) yield { kind: "register_daemon" };
  if (!readSharing.isReading) return;
  yield* recordFloor(state);
  const { suspects } = state.quarantine;
  yield* shareRecords(
    state,
    [...suspects.values()].map(({ record }) => record),
  );
}

/** Handles floors that other daemons have recorded. */
export function* applyFloors(
  state: State,
  { floors }: EventOf<"floors_read">,
): Effects {
  const { storeTimeline } = state.gateway!;
  storeTimeline.floor = mergeFloors(storeTimeline.floor, floors);
  yield* releaseRouting(state);
}

/** Puts the configuration that was held back into force once it may be. */
function* releaseRouting(state: State): Effects {
  const gateway = state.gateway!;
  const { held } = gateway.storeTimeline;
  if (held === undefined || gateway.routing !== undefined) return;
  if (!mayBegin(gateway, held, state.now)) return;
  const { document, confirmedAt } = held;
  yield* applyRouting(state, { document, confirmedAt });
}

/** Checks what is due some time after a restoration or a start. */
export function* sweepTimeline(state: State): Effects {
  const { storeTimeline, readSharing } = state.gateway!;
  yield* releaseRouting(state);
  // A follower may have learned of the timeline before it began to read the store.
  yield* recordFloor(state);
  const { isRecheckDue } = storeTimeline;
  if (!isRecheckDue || isRewriting(storeTimeline, state.now)) return;
  storeTimeline.isRecheckDue = false;
  // A runner that is still not listed is gone.
  if (readSharing.isReading) yield { kind: "reread_runners" };
}
