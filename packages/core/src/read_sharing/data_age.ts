/**
 * Tells how old this daemon's data is, and when that makes it change the source of its data.
 *
 * @module
 */
import { ageOf } from "../gateway/freshness.ts";
import type { State } from "../state/types.ts";

/** Returns whether the data of this daemon is so old that those from whom it has it cannot read the store. */
export function isOutdated({ gateway, now }: State): boolean {
  const { routingFreshness, runnersFreshness, settings } = gateway!;
  const { upstreamAgeMs } = settings.readTimes;
  return [routingFreshness, runnersFreshness].some((freshness) => {
    const age = ageOf(freshness, now);
    return Number.isFinite(age) && age > upstreamAgeMs;
  });
}

/** Returns the age of the configuration for a log line, ms; undefined while it is not confirmed. */
export function knownAge({ gateway, now }: State): number | undefined {
  const age = ageOf(gateway!.routingFreshness, now);
  return Number.isFinite(age) ? Math.round(age) : undefined;
}

/** Returns the age of the older of configuration and list of runners, ms; before the first confirmation, the time since the start. */
export function dataAge({ gateway, now }: State): number {
  const { routingFreshness, runnersFreshness, readSharing } = gateway!;
  const age = Math.max(
    ageOf(routingFreshness, now),
    ageOf(runnersFreshness, now),
  );
  return Number.isFinite(age) ? age : now - readSharing.startedAt;
}

/** Returns the time at which this daemon may next have to change its source, ms; infinite while it reads the store. */
export function sourceDueAt({ gateway, now }: State): number {
  const { readSharing, routingFreshness, runnersFreshness, settings } =
    gateway!;
  const { self, isReading, patience } = readSharing;
  if (self === undefined || isReading) return Infinity;
  const { upstreamAgeMs, ownReadAgeMs, ownReadSpreadMs } = settings.readTimes;
  const confirmedAt = Math.min(
    routingFreshness.confirmedAt ?? Infinity,
    runnersFreshness.confirmedAt ?? Infinity,
  );
  const limits = [upstreamAgeMs, ownReadAgeMs + patience * ownReadSpreadMs];
  const due = limits.map((age) => confirmedAt + age + 1);
  return Math.min(...due.filter((at) => at > now), Infinity);
}
