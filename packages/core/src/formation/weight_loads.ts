/**
 * Limits the rate and the number of concurrent weight loads to what the weight store allows.
 *
 * @module
 */
import type { EngineProfile, Gateway, Model } from "../gateway/types.ts";
import {
  FIRST_LOAD_SHARE,
  FIRST_LOADS_FACTOR,
  FIRST_START_MS,
  LOAD_BURST,
} from "./constants.ts";

const MS_PER_SECOND = 1_000;

function isBeforeTraffic({ formation, settings }: Gateway, now: number) {
  return settings.firstStart && now - formation.startedAt < FIRST_START_MS;
}

/**
 * Reserves one weight load of a model; returns false where the rate or the number of concurrent loads forbids it now.
 *
 * Weight loads before the first request are quick and do not count towards the rate.
 */
export function takeLoad(
  gateway: Gateway,
  engine: EngineProfile,
  { model, now }: { model: Model; now: number },
): boolean {
  const { formation } = gateway;
  const isFirst = isBeforeTraffic(gateway, now);
  formation.loadsEndAt = formation.loadsEndAt.filter((end) => end > now);
  const most = engine.loadsAtOnce * (isFirst ? FIRST_LOADS_FACTOR : 1);
  if (formation.loadsEndAt.length >= most) return false;
  const elapsed = now - formation.loadAllowanceAt;
  const earned = elapsed * engine.loadsPerSecond / MS_PER_SECOND;
  formation.loadAllowanceAt = now;
  formation.loadAllowance = Math.min(
    LOAD_BURST,
    formation.loadAllowance + earned,
  );
  if (!isFirst) {
    if (formation.loadAllowance < 1) return false;
    formation.loadAllowance -= 1;
  }
  const loadMs = model.loadMs * (isFirst ? FIRST_LOAD_SHARE : 1);
  formation.loadsEndAt.push(now + loadMs);
  return true;
}
