/**
 * Decides how much a daemon takes in of requests whose callers it does not control.
 *
 * @module
 */
export * from "./connections.ts";
export * from "./holdings.ts";
export * from "./limits.ts";
export * from "./progress.ts";
export * from "./small_chunks.ts";
export type * from "./types.ts";
