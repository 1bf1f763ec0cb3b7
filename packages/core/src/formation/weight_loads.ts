/**
 * Limits the rate and the number of concurrent weight loads to what the weight store allows.
 *
 * @module
 */
import type { EngineProfile, Gateway, Model } from "../gateway/types.ts";
import {
  FIRST_START_MS,
  FIRST_WEIGHT_LOAD_TIME_SHARE,
  FIRST_WEIGHT_LOADS_FACTOR,
  WEIGHT_LOAD_BURST,
} from "./constants.ts";

const MS_PER_SECOND = 1_000;

function isBeforeTraffic({ groupPlanner, settings }: Gateway, now: number) {
  return settings.firstStart && now - groupPlanner.startedAt < FIRST_START_MS;
}

/**
 * Reserves one weight load of a model; returns false where the rate or the number of concurrent loads forbids it now.
 *
 * Weight loads before the first request are quick and do not count towards the rate.
 */
export function reserveWeightLoad(
  gateway: Gateway,
  engine: EngineProfile,
  { model, now }: { model: Model; now: number },
): boolean {
  const { groupPlanner } = gateway;
  const isFirstStart = isBeforeTraffic(gateway, now);
  groupPlanner.weightLoadsEndAt = groupPlanner.weightLoadsEndAt.filter((end) =>
    end > now
  );
  const maxLoads = engine.loadsAtOnce *
    (isFirstStart ? FIRST_WEIGHT_LOADS_FACTOR : 1);
  if (groupPlanner.weightLoadsEndAt.length >= maxLoads) return false;
  const elapsed = now - groupPlanner.weightLoadAllowanceAt;
  const earned = elapsed * engine.loadsPerSecond / MS_PER_SECOND;
  groupPlanner.weightLoadAllowanceAt = now;
  groupPlanner.weightLoadAllowance = Math.min(
    WEIGHT_LOAD_BURST,
    groupPlanner.weightLoadAllowance + earned,
  );
  if (!isFirstStart) {
    if (groupPlanner.weightLoadAllowance < 1) return false;
    groupPlanner.weightLoadAllowance -= 1;
  }
  const loadMs = model.loadMs *
    (isFirstStart ? FIRST_WEIGHT_LOAD_TIME_SHARE : 1);
  groupPlanner.weightLoadsEndAt.push(now + loadMs);
  return true;
}
