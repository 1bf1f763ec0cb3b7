/**
 * Keeps a daemon to a stable subset of the groups of a model, so that its connections are used again before they are
 * closed.
 *
 * Each daemon ranks the groups by a rendezvous hash over its own name: the subsets of all daemons cover the groups
 * about evenly, and one group that comes or goes changes the subset by one.
 *
 * @module
 */
import { workKey, type WorkKind } from "../gateway/runner_index.ts";
import type { State } from "../state/types.ts";
import { addAmount, createRate, decayRate } from "../util/ewma.ts";
import {
  CONNECTION_REUSE_MS,
  GAPS_PER_REUSE,
  MIN_SUBSET_SIZE,
  REQUEST_RATE_WINDOW_MS,
} from "./constants.ts";

/** Counts a request of a kind of work that this daemon sends. */
export function countSend({ gateway, now }: State, kind: WorkKind): void {
  const { sendRates } = gateway!.loadSharing;
  const key = workKey(kind);
  const rate = sendRates.get(key) ?? createRate(now);
  sendRates.set(key, rate);
  addAmount(rate, 1, { now, windowMs: REQUEST_RATE_WINDOW_MS });
}

/** Returns the number of groups at which this daemon's request rate uses a connection again within {@link CONNECTION_REUSE_MS}. */
export function subsetSize({ gateway, now }: State, kind: WorkKind): number {
  const rate = gateway!.loadSharing.sendRates.get(workKey(kind));
  if (rate === undefined) return MIN_SUBSET_SIZE;
  const perMs = decayRate(rate, { now, windowMs: REQUEST_RATE_WINDOW_MS });
  return Math.max(
    MIN_SUBSET_SIZE,
    Math.round(perMs * CONNECTION_REUSE_MS / GAPS_PER_REUSE),
  );
}

/** Place of a runner in the order in which a daemon uses the groups of a model. */
export interface SubsetPlace {
  /** Slow runners come last. */
  isSlow: boolean;
  affinity: number;
}

/** Returns whether a runner is used before another one: slow ones come last, the others by rendezvous hash. */
function isBefore(left: SubsetPlace, right: SubsetPlace): boolean {
  return left.isSlow === right.isSlow
    ? left.affinity > right.affinity
    : right.isSlow;
}

/** Inserts a runner into the list of the first `size` ones; returns the one that has no place in it, if any. */
export function insertByPlace<T extends SubsetPlace>(
  list: T[],
  place: T,
  size: number,
): T | undefined {
  let index = list.length;
  while (index > 0 && isBefore(place, list[index - 1]!)) index -= 1;
  if (index >= size) return place;
  list.splice(index, 0, place);
  return list.length > size ? list.pop() : undefined;
}
