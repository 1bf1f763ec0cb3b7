/**
 * Pacing: how fast this daemon sends to a runner that takes only a certain rate from all daemons together.
 *
 * @module
 */
export { hearLimit, recordLimit } from "./named_limit.ts";
export { createPacing, ownsRunner, recordFleet } from "./ownership.ts";
export {
  countForward,
  countSend,
  isWithinColdPace,
  mayReceive,
  type PacedRunner,
} from "./pace.ts";
export { coldBoundOf, coldRateOf } from "./shares.ts";
export type { Pacing } from "./types.ts";
