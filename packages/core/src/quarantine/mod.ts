/**
 * Quarantine of requests, and of parts of prompts, that crash every runner that works on them.
 *
 * @module
 */
export { SOUND_AFTER_MS } from "./constants.ts";
export { crashSuspectsOf } from "./crash_suspects.ts";
export * from "./evidence.ts";
export * from "./hold.ts";
export { applyParts } from "./sharing.ts";
export * from "./suspects.ts";
export type * from "./types.ts";
