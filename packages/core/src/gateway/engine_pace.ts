/**
 * Estimates the times of a request at the engines of its service.
 *
 * @module
 */
import { prefillMsOf } from "../admission/urgency.ts";
import type { WaitingQueue } from "../admission/types.ts";
import type { EngineProfile, Gateway, RoutedRequest } from "./types.ts";

/** Time for which a request holds its slot where neither its engine's speed nor any request tells, ms. */
const ASSUMED_HOLDING_MS = 1_600;

/** Kind of work and size of a request. */
export type Work = Pick<
  RoutedRequest,
  "service" | "model" | "promptTokens" | "maxOutputTokens"
>;

function engineOf(
  { routing }: Gateway,
  { service }: Pick<Work, "service">,
): EngineProfile | undefined {
  return routing?.services.get(service)?.engine;
}

/** Returns the factor on the processing times of a request's model. */
export function paceOf(gateway: Gateway, work: Work): number {
  const models = engineOf(gateway, work)?.models ?? [];
  return models.find(({ name }) => name === work.model)?.pace ?? 1;
}

/** Returns the cost that is expected for a request: its prompt and its usual output, tokens. */
export function costOf(gateway: Gateway, work: Work): number {
  const usual = engineOf(gateway, work)?.speed?.usual?.outputTokens ?? Infinity;
  const tokens = work.promptTokens + Math.min(work.maxOutputTokens, usual);
  return Math.max(1, Math.round(tokens));
}

/** Returns the time that an engine takes to read the prompt of a request, ms; 0 where its speed is not known. */
export function readingMsOf(gateway: Gateway, work: Work): number {
  const { prefillTokensPerSecond } = engineOf(gateway, work)?.speed ?? {};
  const { promptTokens } = work;
  const pace = paceOf(gateway, work);
  return prefillMsOf({ promptTokens, prefillTokensPerSecond, pace });
}

/** Returns the time for which a request is expected to hold a slot, ms: as measured, or by the speed of the engines. */
export function holdingMsOf(
  gateway: Gateway,
  queue: WaitingQueue,
  work: Work,
): number {
  if (queue.holdingMs !== undefined) return Math.max(1, queue.holdingMs.value);
  const engine = engineOf(gateway, work);
  const { speed } = engine ?? {};
  if (engine === undefined || speed?.usual === undefined) {
    return ASSUMED_HOLDING_MS;
  }
  const stepMs = speed.stepMs + speed.stepMsPerRequest * engine.slots;
  const outputMs = speed.usual.outputTokens * stepMs * paceOf(gateway, work);
  return Math.max(1, readingMsOf(gateway, work) + outputMs);
}

/** Returns the time from a send to the first event, ms: as measured for the route, and at least the reading of the prompt. */
export function firstEventMsOf(
  gateway: Gateway,
  queue: WaitingQueue,
  request: RoutedRequest,
): number {
  const measured = queue.firstEventMs.get(request.route.name)?.value ?? 0;
  return Math.max(measured, readingMsOf(gateway, request));
}
