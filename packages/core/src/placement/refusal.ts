/**
 * Finds the requests that no runner can serve because of evacuations or region restrictions.
 *
 * @module
 */
import { RETRY_AFTER_MS } from "../gateway/constants.ts";
import type { Refusal } from "../gateway/lookup.ts";
import { candidatesFor, type WorkKind } from "../gateway/runner_index.ts";
import type { State } from "../state/types.ts";
import { mayUse, type PlacedRequest } from "./may_use.ts";
import { isInRegions } from "./regions.ts";

/**
 * Returns why a request is refused although there are runners for its kind of work; undefined where it may use one of
 * them, or where there are none.
 */
export function placementRefusal(
  state: State,
  request: WorkKind & PlacedRequest,
): Refusal | undefined {
  const { allowedRegions } = request;
  let isInAnyRegion = false;
  let count = 0;
  for (const runner of candidatesFor(state.gateway!, request)) {
    if (mayUse(state, request, runner)) return undefined;
    count += 1;
    isInAnyRegion ||= isInRegions(state.gateway!, runner.zone, allowedRegions);
  }
  if (count === 0) return undefined;
  const message = isInAnyRegion
    ? "All runners that may serve this are in evacuated availability zones; try again"
    : `No runner that serves this is in an allowed region (${
      allowedRegions!.join(", ") || "none is allowed by both route and team"
    })`;
  return { code: "no_capacity", message, retryAfterMs: RETRY_AFTER_MS };
}
