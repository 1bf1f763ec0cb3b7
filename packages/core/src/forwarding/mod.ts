/**
 * Forwarding of requests through another daemon, where a daemon has lost its own path to the runners.
 *
 * @module
 */
export * from "./admission.ts";
export * from "./forwarders.ts";
export * from "./path.ts";
export * from "./stranded.ts";
export type * from "./types.ts";
