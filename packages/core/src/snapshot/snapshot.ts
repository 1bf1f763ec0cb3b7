/**
 * Writes snapshots of the folded state, well before the log trims the records that they replace. A lease ensures that
 * only one daemon writes them.
 *
 * @module
 */
import { dumpFold } from "../fold/fold_state.ts";
import { createRecord } from "../fold/append.ts";
import { holdsLease, maintainLease, watchLease } from "../lease/lease.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";

/** Name of the lease under which snapshots are written. */
export const SNAPSHOT_LEASE = "snapshots";
/** Records after which a new snapshot is due. */
const SNAPSHOT_RECORDS = 5_000;
/** Time after which a new snapshot is due if any record was folded since the last one, ms. */
const SNAPSHOT_MS = 600_000;

/** Maintains the snapshot lease and writes a snapshot when one is due. */
export function* writeSnapshots(state: State): Effects {
  const lease = watchLease(state, SNAPSHOT_LEASE);
  yield* maintainLease(state, lease, {
    wanted: state.ready && state.phase === "serving",
  });
  if (!holdsLease(state, lease) || !state.log.reachable) return;
  const { next } = state.fold;
  const isDue = next - state.snapshot.next >= SNAPSHOT_RECORDS ||
    (next > state.snapshot.next &&
      state.now - state.snapshot.at >= SNAPSHOT_MS);
  if (!isDue) return;
  state.snapshot = { next, at: state.now };
  const { id } = createRecord(state, {
    type: "level",
    raiseTo: state.fold.level,
  });
  yield {
    kind: "write_snapshot",
    record: { id, type: "snapshot", state: dumpFold(state.fold) },
  };
}
