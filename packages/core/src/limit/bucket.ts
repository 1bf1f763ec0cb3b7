/**
 * Token buckets for limits that all entry VMs share.
 *
 * @module
 */
import { addAmount, createRate, decayRate, type Rate } from "../util/ewma.ts";

/** Bucket of one limit at this entry. */
export interface Bucket {
  /** Limit over all entries, units a minute. */
  perMinute: number;
  /** This entry's part of it. */
  share: number;
  level: number;
  at: number;
  /** Offered units, refused ones too. */
  demand: Rate;
}

const MINUTE_MS = 60_000;
/** Burst allowed on top of the steady rate, ms of it. */
const BURST_MS = 1_000;
/** Time constant of the demand told to peers. */
const DEMAND_WINDOW_MS = 2_000;

/** Creates a bucket that starts full. */
export function createBucket(
  perMinute: number,
  { share, now }: { share: number; now: number },
): Bucket {
  const level = perMinute * share / MINUTE_MS * BURST_MS;
  return { perMinute, share, level, at: now, demand: createRate(now) };
}

function refill(bucket: Bucket, now: number): void {
  const rate = bucket.perMinute * bucket.share / MINUTE_MS;
  const burst = Math.max(1, rate * BURST_MS);
  bucket.level = Math.min(
    burst,
    bucket.level + rate * Math.max(0, now - bucket.at),
  );
  bucket.at = now;
}

/**
 * Takes `amount` if the bucket has any left; may leave it in debt so that large requests pass in turn.
 *
 * Returns 0 when taken, else the milliseconds until it may be tried again.
 */
export function takeFrom(
  bucket: Bucket,
  amount: number,
  { now }: { now: number },
): number {
  refill(bucket, now);
  addAmount(bucket.demand, amount, { now, windowMs: DEMAND_WINDOW_MS });
  const threshold = Math.min(1, amount);
  if (bucket.level >= threshold) {
    bucket.level -= amount;
    return 0;
  }
  const rate = bucket.perMinute * bucket.share / MINUTE_MS;
  return Math.ceil((threshold - bucket.level) / Math.max(rate, 1e-9));
}

/** Gives back or takes more once the true amount is known. */
export function correctBucket(bucket: Bucket, amount: number): void {
  bucket.level -= amount;
}

/** Demand told to peers, units a minute. */
export function demandPerMinute(bucket: Bucket, now: number): number {
  return decayRate(bucket.demand, { now, windowMs: DEMAND_WINDOW_MS }) *
    MINUTE_MS;
}

/** Share of a limit for one of `entries` by its demand; part of it is even, so a newcomer is not shut out. */
export function limitShare(
  own: number,
  total: number,
  { entries }: { entries: number },
): number {
  const even = 0.1 / entries;
  if (total <= 0) return 1 / entries;
  return even + 0.9 * own / total;
}
