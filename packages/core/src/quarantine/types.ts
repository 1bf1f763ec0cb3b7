/**
 * Types of the quarantine of what crashes runners: shared parts of prompts, and whole requests. Both are called parts.
 *
 * @module
 */

/** What all daemons share of a part under which runners crashed. */
export interface PartRecord {
  /** Id of the part, as `crashSuspectsOf` names it. */
  part: string;
  /** Number of times that the suspicion was dropped, since a request with the part was served. */
  round: number;
  /** Length of the longest chain of crashes in this round; each request of a chain was sent after the crash before. */
  crashes: number;
  /** Trials since the part was quarantined in this round. */
  trials: number;
}

/** A record as it was read, with the time since it was written. */
export interface PartReading {
  record: PartRecord;
  ageMs: number;
}

/** A part under suspicion. */
export interface SuspectPart {
  record: PartRecord;
  /** Time at which it last concerned this daemon, ms. */
  touchedAt: number;
  /** Time of the last crash or trial, from which on the next trial waits, ms. */
  heldSince: number;
  /** Time of the last crash that this daemon counted or heard of, ms. */
  crashedAt: number;
}

/** Chains of crashes that were known when a request was sent, by part. */
export type KnownChains = ReadonlyMap<string, PartRecord>;

/** An attempt whose connection was cut before it could show that its prompt is sound. */
export interface PendingCrash {
  runner: string;
  request: string;
  parts: readonly string[];
  chains: KnownChains;
  sentAt: number;
  /** Time of the cut, ms. */
  at: number;
}

/** State of the quarantine. */
export interface Quarantine {
  /** Parts under suspicion by id, the least recently touched first. */
  suspects: Map<string, SuspectPart>;
  /** Times at which requests were served, ms, by part; the oldest first. */
  servedAt: Map<string, number>;
  pendingCrashes: PendingCrash[];
  nextPruneAt: number;
}
