/**
 * Keeps each target's limit and allowance current, in constant time for each change.
 *
 * @module
 */
import { isTargetEvacuated } from "../placement/policy_zones.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { setIncluded } from "../routing/random_set.ts";
import { batchLimit } from "./batch_model.ts";
import { estimateLoad } from "./load_estimate.ts";
import { wholeSlots } from "./share.ts";

/** Age above which a report does not show idle slots, ms. */
const MAX_REPORT_AGE_MS = 5_000;
/** Share of the idle slots that all entries together may borrow. */
const BORROWABLE_SHARE = 0.5;
/** Most slots that an entry borrows, as a share of its own; the report that shows them idle may be outdated. */
const MAX_BORROWED_SHARE = 0.5;
/** A group whose KV cache is used above this share accepts no new requests. */
const KV_FULL_SHARE = 0.95;
/** Engines slower than their peers by more than this factor get a smaller batch. */
const SLOW_FACTOR = 1.3;
/** Requests allowed at an ejected target that is probed, or at one that has had its back-off. */
const PROBE_ALLOWANCE = 1;

function acceptsWork(state: State, target: Target): boolean {
  const { phase, backoffUntil } = target;
  if (backoffUntil !== undefined && state.now < backoffUntil) return false;
  if (isTargetEvacuated(state, target)) return false;
  return phase === "serving" || phase === "probing";
}

function limitOf(pool: Pool, target: Target): number {
  if (pool.deployment.kind === "service") return pool.deployment.concurrency;
  const maxBatch = Math.min(
    pool.deployment.maxBatch,
    target.report?.maxBatch ?? pool.deployment.maxBatch,
  );
  return batchLimit(pool.model, {
    maxBatch,
    factor: target.factor > SLOW_FACTOR ? target.factor : 1,
  });
}

function borrowableSlots(state: State, pool: Pool, target: Target): number {
  if (
    target.report === undefined ||
    state.now - target.reportedAt > MAX_REPORT_AGE_MS
  ) {
    return 0;
  }
  const idle = target.limit - estimateLoad(target);
  if (idle <= 0) return 0;
  return wholeSlots(target.name, idle * BORROWABLE_SHARE, pool.share);
}

/** Returns this entry's own part of a target's limit. */
export function ownLimit(pool: Pool, { name, limit }: Target): number {
  return wholeSlots(name, limit, pool.share);
}

function allowanceOf(state: State, pool: Pool, target: Target): number {
  if (!acceptsWork(state, target)) return 0;
  // After a back-off, too, the first request goes alone.
  if (target.phase === "probing" || target.backoffUntil !== undefined) {
    return PROBE_ALLOWANCE;
  }
  if ((target.report?.kvUsedShare ?? 0) > KV_FULL_SHARE) return 0;
  const own = ownLimit(pool, target);
  const borrowable = borrowableSlots(state, pool, target);
  if (borrowable <= 0) return own;
  const max = own + Math.max(1, Math.ceil(own * MAX_BORROWED_SHARE));
  return Math.min(max, Math.max(own, target.attempts.size + borrowable));
}

/** Recomputes a target's limit and allowance, and whether it is among the free and the serving targets. */
export function refreshTarget(state: State, target: Target): void {
  const pool = state.pools.get(target.deployment);
  if (pool === undefined) return;
  const before = target.limit;
  target.limit = acceptsWork(state, target) ? limitOf(pool, target) : 0;
  pool.slots += target.limit - before;
  target.allowance = allowanceOf(state, pool, target);
  const over = Math.max(0, target.attempts.size - target.allowance);
  pool.overdrawn += over - target.overdrawn;
  target.overdrawn = over;
  setIncluded(pool.servingTargets, target.name, {
    included: target.phase === "serving" && target.allowance > 0,
  });
  if (pool.servingTargets.names.length > 0) pool.lastServingAt = state.now;
  setIncluded(pool.freeTargets, target.name, {
    included: target.attempts.size < target.allowance,
  });
}

/** Recomputes every target of a pool; only for changes of this entry's share, since its cost grows with the pool. */
export function refreshPool(state: State, pool: Pool): void {
  for (const name of pool.targets) {
    const target = state.targets.get(name);
    if (target !== undefined) refreshTarget(state, target);
  }
}
