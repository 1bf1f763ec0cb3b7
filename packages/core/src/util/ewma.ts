/**
 * Exponentially weighted averages and rates over irregular samples.
 *
 * @module
 */

/** A decaying average of samples. */
export interface Average {
  value: number;
  samples: number;
}

/** Creates an average with the value `initial` until samples arrive. */
export function createAverage(initial: number): Average {
  return { value: initial, samples: 0 };
}

/** Adds a sample; `weight` in (0, 1] is the weight of the newest sample. */
export function addSample(
  average: Average,
  sample: number,
  { weight }: { weight: number },
): void {
  const share = Math.max(weight, 1 / (average.samples + 1));
  average.value += (sample - average.value) * share;
  average.samples += 1;
}

/** A decaying rate of amounts per millisecond. */
export interface Rate {
  perMs: number;
  at: number;
}

/** Creates a rate of zero as of `now` (ms). */
export function createRate(now: number): Rate {
  return { perMs: 0, at: now };
}

/** Decays a rate to `now` and returns it; `windowMs` is the time constant. */
export function decayRate(
  rate: Rate,
  { now, windowMs }: { now: number; windowMs: number },
): number {
  if (now > rate.at) {
    rate.perMs *= Math.exp((rate.at - now) / windowMs);
    rate.at = now;
  }
  return rate.perMs;
}

/** Adds `amount` at `now` to the rate. */
export function addAmount(
  rate: Rate,
  amount: number,
  { now, windowMs }: { now: number; windowMs: number },
): void {
  decayRate(rate, { now, windowMs });
  rate.perMs += amount / windowMs;
}
