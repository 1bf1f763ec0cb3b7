/**
 * Hedged requests: cuts the slowest responses by a second copy of a request, within a limit that the deployment sets.
 *
 * @module
 */
export {
  countHedgeableRequest,
  createHedgingState,
  recordFirstResponse,
  tryHedge,
} from "./hedging.ts";
export { continueParallel, makeCurrent, settleHedge } from "./parallel.ts";
export type * from "./types.ts";
