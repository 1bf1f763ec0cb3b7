/**
 * Weighs the capacity of a group whose head is cold: it takes fewer requests a second than a warm one completes.
 *
 * @module
 */
import { activeColdStart } from "../cold_start/mod.ts";
import type { EngineProfile, Model, Service } from "../gateway/types.ts";
import { coldRateOf } from "../pacing/mod.ts";
import type { State } from "../state/types.ts";
import type { GroupView } from "./group_view.ts";

const MS_PER_SECOND = 1_000;
const TOKENS_PER_KILO_TOKEN = 1_000;

/** Returns the requests a second that a full, warm group completes; undefined where the engines' speed is not known. */
export function warmRateOf(
  { slots, speed }: EngineProfile,
  { pace }: Pick<Model, "pace">,
): number | undefined {
  const usual = speed?.usual;
  if (speed === undefined || usual === undefined) return undefined;
  const { promptTokens, outputTokens } = usual;
  const readMs = MS_PER_SECOND * promptTokens / speed.prefillTokensPerSecond;
  const contextKiloTokens = (promptTokens + outputTokens / 2) /
    TOKENS_PER_KILO_TOKEN;
  const stepMs = speed.stepMs + slots *
      (speed.stepMsPerRequest +
        speed.stepMsPerContextKiloToken * contextKiloTokens);
  const requestMs = (readMs + outputTokens * stepMs) * pace;
  return requestMs > 0 ? slots * MS_PER_SECOND / requestMs : undefined;
}

/**
 * Returns the capacity of a group as a share of a warm one's, 0 to 1.
 *
 * @example
 * ```ts
 * capacityOf(state, { service, view }); // 0.5 where it takes half of the requests that a warm one completes
 * ```
 */
export function capacityOf(
  state: State,
  { service, view }: { service: Service; view: GroupView },
): number {
  const [head] = view.members;
  if (head === undefined || service.engine === undefined) return 1;
  const coldStart = activeColdStart(state, head);
  const warmRate = warmRateOf(service.engine, view.model);
  if (coldStart === undefined || warmRate === undefined) return 1;
  const coldRate = coldRateOf(coldStart, state.gateway!.settings);
  return Math.min(1, coldRate / warmRate);
}
