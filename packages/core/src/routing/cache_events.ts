/**
 * Applies engines' prefix-cache events, which arrive late and with gaps.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { addHolder, removeHolder } from "./prefix_index.ts";

/** Handles cache events of one target; after a gap it requests a resync, and keeps the hints meanwhile. */
export function* applyCacheEvents(
  state: State,
  event: EventOf<"cache_changed">,
): Effects {
  const target = state.targets.get(event.target);
  const pool = state.pools.get(target?.deployment ?? "");
  if (
    target === undefined || pool === undefined ||
    event.sequence <= target.cacheSequence
  ) return;
  const isGap = target.cacheSequence > 0 &&
    event.sequence > target.cacheSequence + 1;
  target.cacheSequence = event.sequence;
  for (const { kind, prefix } of event.changes) {
    if (kind === "stored") {
      addHolder(pool.prefixes, prefix, { target: target.name, now: state.now });
    } else removeHolder(pool.prefixes, prefix, { target: target.name });
  }
  if (!isGap) return;
  yield {
    kind: "log",
    event: "cache_gap",
    fields: { target: target.name, sequence: event.sequence },
  };
  const address = target.members[0]?.member.address;
  if (address !== undefined) {
    yield { kind: "resync_cache", target: target.name, address };
  }
}
