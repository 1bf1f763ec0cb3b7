/**
 * Token buckets for limits that all entry VMs share.
 *
 * @module
 */
import { addAmount, createRate, decayRate, type Rate } from "../util/ewma.ts";

/** Bucket of one limit at this entry. */
export interface Bucket {
  /** Limit over all entries, units per minute. */
  perMinute: number;
  /** This entry's part of the limit, as a fraction. */
  share: number;
  /** Units left; negative after a request larger than what was left. */
  level: number;
  /** Time of the last refill, ms. */
  at: number;
  /** Rate of requested units, including refused ones. */
  demand: Rate;
}

const MINUTE_MS = 60_000;
/** Capacity of a bucket, as ms of its steady rate. */
const BURST_MS = 1_000;
/** Time constant of the demand that is reported to peers, ms. */
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
 * Consumes `amount` if the bucket has any left; may leave it in debt, so that requests larger than the bucket also pass.
 *
 * Returns 0 when consumed, otherwise the milliseconds until a retry can succeed.
 */
export function consume(
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

/** Consumes a further amount, or refunds a negative one, once the actual amount is known. */
export function correctBucket(bucket: Bucket, amount: number): void {
  bucket.level -= amount;
}

/** Returns the demand that is reported to peers, units per minute. */
export function demandPerMinute(bucket: Bucket, now: number): number {
  return decayRate(bucket.demand, { now, windowMs: DEMAND_WINDOW_MS }) *
    MINUTE_MS;
}

/** Returns an entry's share of a limit by its demand; a tenth is split evenly, so that a new entry is not shut out. */
export function limitShare(
  own: number,
  total: number,
  { entries }: { entries: number },
): number {
  const even = 0.1 / entries;
  if (total <= 0) return 1 / entries;
  return even + 0.9 * own / total;
}
