/**
 * Checks configurations before they are sent, and routing configurations when they come into force.
 *
 * @module
 */
export {
  checkConfig,
  type CheckContext,
  type DocumentSources,
} from "./config_check.ts";
export { logFindings } from "./log_findings.ts";
export { checkRouting, type RoutingContext } from "./routing_check.ts";
export type * from "./types.ts";
