/**
 * Decides where requests may be served: evacuated availability zones and region restrictions.
 *
 * @module
 */
export * from "./evacuations.ts";
export * from "./handlers.ts";
export { mayForwardThrough, mayUse, type PlacedRequest } from "./may_use.ts";
export { placementRefusal } from "./refusal.ts";
export { allowedRegionsOf } from "./regions.ts";
