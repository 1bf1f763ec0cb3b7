/**
 * Effects of the quarantine.
 *
 * @module
 */
import type { PartRecord } from "./types.ts";

/** Every effect of the quarantine. */
export type QuarantineEffect =
  /** Shares records with the other daemons through the store. */
  | { kind: "share_parts"; records: readonly PartRecord[] }
  /** Deletes the records of parts from the store. */
  | { kind: "forget_parts"; parts: readonly string[] };
