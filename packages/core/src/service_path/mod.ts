/**
 * A daemon's own network path to the runners of each service.
 *
 * @module
 */
export * from "./probe.ts";
export * from "./service_path.ts";
export type * from "./types.ts";
