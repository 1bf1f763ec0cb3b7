/**
 * Applies the rate limits of owners, teams and callers; each limit is split among all entry VMs by demand.
 *
 * @module
 */
import type { Principal, RateLimit } from "../config/types.ts";
import type { Refusal } from "../request/finish.ts";
import type { Request } from "../request/types.ts";
import type { State } from "../state/types.ts";
import {
  type Bucket,
  consume,
  correctBucket,
  createBucket,
  demandPerMinute,
  limitShare,
} from "./bucket.ts";

/** What a limit counts. */
export type LimitUnit = "requests" | "tokens";

interface LimitCharge {
  name: string;
  unit: LimitUnit;
  perMinute: number;
  amount: number;
}

function limitsOf(
  state: State,
  { owner, team, caller }: Principal,
): [string, RateLimit][] {
  const ownerConfig = state.config?.config.owners[owner];
  const teamConfig = ownerConfig?.teams[team];
  const callerConfig = teamConfig?.callers[caller];
  return [
    [owner, ownerConfig?.limit ?? {}],
    [`${owner}/${team}`, teamConfig?.limit ?? {}],
    [`${owner}/${team}/${caller}`, callerConfig?.limit ?? {}],
  ];
}

function listCharges(state: State, request: Request): LimitCharge[] {
  const tokens = request.promptTokens + request.predictedOutput;
  return limitsOf(state, request.principal).flatMap((
    [name, { requestsPerMinute, tokensPerMinute }],
  ) => [
    ...(requestsPerMinute
      ? [{
        name,
        unit: "requests" as const,
        perMinute: requestsPerMinute,
        amount: 1,
      }]
      : []),
    ...(tokensPerMinute
      ? [{
        name,
        unit: "tokens" as const,
        perMinute: tokensPerMinute,
        amount: tokens,
      }]
      : []),
  ]);
}

function bucketName(
  { name, unit }: Pick<LimitCharge, "name" | "unit">,
): string {
  return `${name}:${unit}`;
}

function bucketOf(state: State, charge: LimitCharge): Bucket {
  const name = bucketName(charge);
  const existing = state.buckets.get(name);
  if (existing !== undefined) {
    existing.perMinute = charge.perMinute;
    return existing;
  }
  const share = 1 / countEntries(state);
  const bucket = createBucket(charge.perMinute, { share, now: state.now });
  state.buckets.set(name, bucket);
  return bucket;
}

/** Returns the number of entries that hold a part of every limit: this one and all peers that are not yet removed. */
export function countEntries(state: State): number {
  return 1 + state.peers.size;
}

/** Charges a request to every limit that applies to it; returns a refusal, and charges nothing, if one is used up. */
export function chargeLimits(
  state: State,
  request: Request,
): Refusal | undefined {
  const charged: { bucket: Bucket; amount: number }[] = [];
  for (const charge of listCharges(state, request)) {
    const bucket = bucketOf(state, charge);
    const waitMs = consume(bucket, charge.amount, { now: state.now });
    if (waitMs === 0) {
      charged.push({ bucket, amount: charge.amount });
      continue;
    }
    for (const { bucket, amount } of charged) correctBucket(bucket, -amount);
    return {
      code: "rate_limited",
      message:
        `The limit of ${charge.perMinute} ${charge.unit} per minute for "${charge.name}" is used up; try later`,
      verdict: "not_run",
      retryAfterMs: waitMs,
    };
  }
  return undefined;
}

/** Corrects token limits once the actual output is known. */
export function correctLimits(
  state: State,
  request: Request,
  { outputTokens }: { outputTokens: number },
): void {
  for (const [name] of limitsOf(state, request.principal)) {
    const bucket = state.buckets.get(bucketName({ name, unit: "tokens" }));
    if (bucket !== undefined) {
      correctBucket(bucket, outputTokens - request.predictedOutput);
    }
  }
}

/** Returns the demand on each limit, as reported to peers. */
export function listDemands(state: State): Record<string, number> {
  const demands: Record<string, number> = {};
  for (const [name, bucket] of state.buckets) {
    const demand = Math.round(demandPerMinute(bucket, state.now));
    if (demand > 0) demands[name] = demand;
  }
  return demands;
}

/** Recomputes this entry's share of every limit from its own demand and the peers' digests. */
export function shareLimits(state: State): void {
  const entries = countEntries(state);
  for (const [name, bucket] of state.buckets) {
    const own = demandPerMinute(bucket, state.now);
    let total = own;
    for (const peer of state.peers.values()) {
      total += peer.digest?.demands[name] ?? 0;
    }
    bucket.share = limitShare(own, total, { entries });
  }
}
