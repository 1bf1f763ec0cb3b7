/**
 * Chooses the target of a request among a few candidates, without a scan of the fleet.
 *
 * @module
 */
import { acceptsOverdraft, canOverdraw } from "../admission/overdraft.ts";
import { estimateLoad } from "../capacity/load_estimate.ts";
import { ownLimit } from "../capacity/targets.ts";
import { isTargetEvacuated } from "../placement/policy_zones.ts";
import type { Request } from "../request/types.ts";
import type { Pool, State, Target } from "../state/types.ts";
import { matchPrefixes } from "./prefix_index.ts";
import { type RandomSet, sampleNames } from "./random_set.ts";

/** Candidates drawn at random. */
const RANDOM_CANDIDATES = 4;
/** Candidates that may hold the prompt's prefix; with the random ones this bounds the cost of a decision. */
const AFFINITY_CANDIDATES = 2;
/** Delay added for a target in another availability zone, ms. */
const OTHER_ZONE_MS = 2;
/** Prefill speed assumed until a report gives one, prompt tokens per ms. */
const DEFAULT_PREFILL_PER_MS = 8;
/** Expected delay at a full batch, ms; rises with the square of its use. */
const FULL_BATCH_MS = 30;
/** Delay added where this entry's own part of a target is fully used, ms; rises with the square of its use. */
const FULL_OWN_SHARE_MS = 60;
/** Delay of loading an adapter that a target does not have, ms. */
const ADAPTER_LOAD_MS = 400;
const DEFAULT_STEP_MS = 25;

/** A candidate with its expected delay to the first token. */
export interface ScoredTarget {
  target: Target;
  score: number;
}

function cachedShareOf(request: Request, blocks: number): number {
  return request.prefixes.length === 0 ? 0 : blocks / request.prefixes.length;
}

// Local attempts are known exactly and reports may be outdated, so both count: once this entry uses its own part of a
// target in full, the target's score gets worse although the report shows it idle.
function queueDelay(pool: Pool, target: Target): number {
  const limit = Math.max(target.limit, 1);
  const load = estimateLoad(target);
  const stepMs = DEFAULT_STEP_MS * Math.max(1, target.factor);
  const over = Math.max(0, load - limit);
  const reportedUse = Math.min(1, load / limit);
  const ownUse = target.attempts.size / Math.max(1, ownLimit(pool, target));
  return over * stepMs + reportedUse ** 2 * FULL_BATCH_MS +
    ownUse ** 2 * FULL_OWN_SHARE_MS;
}

/** Returns the expected delay of a request's first token at a target, ms. */
export function scoreTarget(
  state: State,
  { pool, request, target, blocks }: {
    pool: Pool;
    request: Request;
    target: Target;
    blocks: number;
  },
): number {
  const prefillPerMs = (target.report?.prefillPerMs || DEFAULT_PREFILL_PER_MS) /
    Math.max(1, target.factor);
  const uncached = target.prefilling +
    request.promptTokens * (1 - cachedShareOf(request, blocks));
  const zone = target.members[0]?.member.zone === state.node.zone
    ? 0
    : OTHER_ZONE_MS;
  const adapterLoaded = request.adapter === undefined ||
    target.report?.adapters?.includes(request.adapter) !== false;
  const adapter = adapterLoaded ? 0 : ADAPTER_LOAD_MS;
  return queueDelay(pool, target) + uncached / prefillPerMs + zone + adapter;
}

type TargetFilter = (target: Target) => boolean;

function hasFreeSlot({ attempts, allowance }: Target): boolean {
  return attempts.size < allowance;
}

function candidatesOf(
  state: State,
  pool: Pool,
  { request, among }: { request: Request; among: RandomSet },
): Map<string, number> {
  const candidates = new Map<string, number>();
  const { random } = state;
  for (const name of sampleNames(among, RANDOM_CANDIDATES, { random })) {
    candidates.set(name, 0);
  }
  const matches = matchPrefixes(pool.prefixes, request.prefixes, {
    now: state.now,
    max: AFFINITY_CANDIDATES,
  });
  for (const { target, blocks } of matches) candidates.set(target, blocks);
  return candidates;
}

/**
 * Returns the best target with a free slot, or undefined where none has one.
 *
 * The cost of a decision is bounded: it scores a few random targets and those that probably hold the prompt's prefix.
 */
export function chooseTarget(
  state: State,
  pool: Pool,
  request: Request,
): Target | undefined {
  return bestTarget(state, pool, {
    request,
    among: pool.freeTargets,
    accepts: hasFreeSlot,
  }) ??
    chooseOverAllowance(state, pool, request);
}

function chooseOverAllowance(
  state: State,
  pool: Pool,
  request: Request,
): Target | undefined {
  if (!request.lowUsage || !canOverdraw(pool)) return undefined;
  return bestTarget(state, pool, {
    request,
    among: pool.servingTargets,
    accepts: acceptsOverdraft,
  });
}

function bestTarget(
  state: State,
  pool: Pool,
  { request, among, accepts }: {
    request: Request;
    among: RandomSet;
    accepts: TargetFilter;
  },
): Target | undefined {
  let best: ScoredTarget | undefined;
  for (const [name, blocks] of candidatesOf(state, pool, { request, among })) {
    const target = state.targets.get(name);
    if (target === undefined || !accepts(target)) continue;
    // A target that may hold the prefix is not drawn from those that accept work.
    if (isTargetEvacuated(state, target)) continue;
    if (request.excluded.includes(name)) continue;
    const score = scoreTarget(state, { pool, request, target, blocks });
    if (best === undefined || score < best.score) best = { target, score };
  }
  return best?.target;
}
