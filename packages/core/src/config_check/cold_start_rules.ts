/**
 * Compares the rate that a cold runner may get with what its engine runs at full load.
 *
 * @module
 */
import type {
  EngineProfile,
  EngineSpeed,
  RoutingDocument,
} from "../gateway/fleet_types.ts";
import type { RuleFinding } from "./types.ts";

const MS_PER_SECOND = 1_000;
const TOKENS_PER_KILOTOKEN = 1_000;

/** Returns the time for which a usual request of a model of pace 1 holds a slot of a full group, ms. */
function holdingMsOf(
  { slots }: EngineProfile,
  speed: EngineSpeed,
  { promptTokens, outputTokens }: NonNullable<EngineSpeed["usual"]>,
): number {
  const contextKiloTokens = (promptTokens + outputTokens / 2) /
    TOKENS_PER_KILOTOKEN;
  const stepMs = speed.stepMs + slots * (speed.stepMsPerRequest +
        speed.stepMsPerContextKiloToken * contextKiloTokens);
  const prefillMs = promptTokens / speed.prefillTokensPerSecond *
    MS_PER_SECOND;
  return prefillMs + outputTokens * stepMs;
}

/**
 * Returns the requests a second that a group of the fastest model runs at full load, or undefined where the
 * configuration does not say how fast the engine is.
 *
 * @example
 * ```ts
 * fullRateOf({ slots: 10, speed, models, ...rest }); // 5, where a usual request holds a slot for 2 s
 * ```
 */
export function fullRateOf(engine: EngineProfile): number | undefined {
  const { speed, models, slots } = engine;
  if (speed?.usual === undefined || models.length === 0) return undefined;
  const fastest = models.reduce(
    (pace, model) => Math.min(pace, model.pace),
    Infinity,
  );
  const holdingMs = holdingMsOf(engine, speed, speed.usual) * fastest;
  return holdingMs > 0 ? slots * MS_PER_SECOND / holdingMs : undefined;
}

/** Lists services whose limit for cold runners is above what a warm one runs, so that it never takes effect. */
export function* findUselessColdLimits(
  { services }: RoutingDocument,
): Iterable<RuleFinding> {
  for (const { name, engine, coldStart } of services) {
    const rate = engine && fullRateOf(engine);
    if (rate === undefined || coldStart === undefined) continue;
    if (coldStart.requestsPerSecond <= rate) continue;
    yield {
      severity: "warning",
      rule: "cold_limit_above_engine",
      path: ["services", name, "coldStart"],
      message:
        `${coldStart.requestsPerSecond} requests a second for a cold runner are more than the ${
          rate.toFixed(1)
        } that a warm one runs; lower the limit`,
    };
  }
}
