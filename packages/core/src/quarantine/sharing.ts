/**
 * Shares the parts under suspicion between daemons: through the store and those that read it, or from peer to peer.
 *
 * @module
 */
import { publish } from "../read_sharing/publish.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { isHeld, logRecord, mergeRecords, setRecord } from "./suspects.ts";
import type { PartReading, PartRecord } from "./types.ts";

/** Handles records that other daemons have shared. */
export function* applyParts(
  state: State,
  readings: readonly PartReading[],
): Effects {
  const { quarantine, now } = state;
  const changed: PartReading[] = [];
  for (const { record, ageMs } of readings) {
    const before = quarantine.suspects.get(record.part)?.record;
    const merged = before === undefined ? record : mergeRecords(before, record);
    // Only what is sent from now on was sent with knowledge of it, whatever the clocks say of its age.
    const times = { now, ageMs, crashedAt: now };
    if (!setRecord(quarantine, merged, times)) continue;
    changed.push({ record: merged, ageMs });
    if (isHeld(before) === isHeld(merged)) continue;
    yield logRecord(merged, {
      event: isHeld(merged) ? "part_quarantined" : "part_cleared",
      cause: "shared",
    });
  }
  yield* passOnToFollowers(state, changed);
}

/** Shares records with the other daemons. */
export function* shareRecords(
  state: State,
  records: readonly PartRecord[],
): Effects {
  const { gateway, peers } = state;
  if (records.length === 0) return;
  if (gateway !== undefined) {
    yield { kind: "share_parts", records };
    const readings = records.map((record) => ({ record, ageMs: 0 }));
    return yield* passOnToFollowers(state, readings);
  }
  for (const peer of peers.keys()) {
    yield {
      kind: "peer_send",
      peer,
      message: { kind: "parts", records: [...records] },
    };
  }
}

/** Passes on records where this daemon reads the store for others. */
function* passOnToFollowers(
  state: State,
  readings: PartReading[],
): Effects {
  if (readings.length === 0 || !state.gateway?.readSharing.isReading) return;
  yield* publish(state, { kind: "parts", readings });
}
