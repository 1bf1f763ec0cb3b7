/**
 * Keeps the parts of prompts under suspicion, and merges what the daemons know of them.
 *
 * Records merge by the higher round, then by the longer chain, so that all daemons agree in whatever order they read.
 *
 * @module
 */
import { isLeader } from "../formation/leadership.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import {
  MAX_PARTS,
  PART_TTL_MS,
  PRUNE_INTERVAL_MS,
  QUARANTINE_AFTER_CRASHES,
} from "./constants.ts";
import type {
  KnownChains,
  PartRecord,
  Quarantine,
  SuspectPart,
} from "./types.ts";

/** Creates an empty quarantine. */
export function createQuarantine(now: number): Quarantine {
  return {
    suspects: new Map(),
    servedAt: new Map(),
    pendingCrashes: [],
    nextPruneAt: now,
  };
}

/** Returns whether requests with a part are held back. */
export function isHeld(record: PartRecord | undefined): boolean {
  return record !== undefined && record.crashes >= QUARANTINE_AFTER_CRASHES;
}

/**
 * Merges two records of one part.
 *
 * @example
 * ```ts
 * mergeRecords(
 *   { part: "a", round: 0, crashes: 3, trials: 1 },
 *   { part: "a", round: 1, crashes: 0, trials: 0 },
 * ).crashes; // 0: a request with the part was served in the meantime
 * ```
 */
export function mergeRecords(left: PartRecord, right: PartRecord): PartRecord {
  if (left.round !== right.round) {
    return left.round > right.round ? left : right;
  }
  return {
    ...left,
    crashes: Math.max(left.crashes, right.crashes),
    trials: Math.max(left.trials, right.trials),
  };
}

/** Returns the chains of crashes known for the parts of a prompt. */
export function knownChains(
  { suspects }: Quarantine,
  parts: readonly string[],
): KnownChains {
  const chains = new Map<string, PartRecord>();
  if (suspects.size === 0) return chains;
  for (const part of parts) {
    const suspect = suspects.get(part);
    if (suspect !== undefined) chains.set(part, suspect.record);
  }
  return chains;
}

/** Moves a part to the end of the order in which parts are dropped. */
export function touchSuspect(
  { suspects }: Quarantine,
  suspect: SuspectPart,
  now: number,
): void {
  const { part } = suspect.record;
  suspect.touchedAt = now;
  suspects.delete(part);
  suspects.set(part, suspect);
}

/** Replaces the record of a part; returns false where nothing is new. */
export function setRecord(
  quarantine: Quarantine,
  record: PartRecord,
  { now, ageMs = 0, crashedAt = now - ageMs }: {
    now: number;
    ageMs?: number;
    crashedAt?: number;
  },
): boolean {
  const { suspects } = quarantine;
  const known = suspects.get(record.part);
  const before = known?.record;
  const isSame = before !== undefined && before.round === record.round &&
    before.crashes === record.crashes && before.trials === record.trials;
  if (isSame) return false;
  const suspect = known ??
    { record, touchedAt: now, heldSince: now, crashedAt };
  if (record.crashes !== before?.crashes) suspect.crashedAt = crashedAt;
  suspect.record = record;
  suspect.heldSince = now - ageMs;
  touchSuspect(quarantine, suspect, now - ageMs);
  if (suspects.size > MAX_PARTS) dropOldest(quarantine);
  return true;
}

/** Drops the suspect that was not touched for longest, one that is not held back if there is any. */
function dropOldest({ suspects }: Quarantine): void {
  let oldest: string | undefined;
  for (const [part, { record }] of suspects) {
    oldest ??= part;
    if (isHeld(record)) continue;
    oldest = part;
    break;
  }
  if (oldest !== undefined) suspects.delete(oldest);
}

/** Returns the log effect for a change of a part's record. */
export function logRecord(
  { part, round, crashes, trials }: PartRecord,
  { event, ...fields }: {
    event:
      | "part_suspected"
      | "part_quarantined"
      | "part_cleared"
      | "part_tried";
    cause: string;
    runner?: string;
    request?: string;
  },
) {
  return {
    kind: "log" as const,
    event,
    fields: { part, round, crashes, trials, ...fields },
  };
}

/** Forgets the parts that nothing has concerned for long. */
export function* pruneSuspects(state: State): Effects {
  const { quarantine, gateway, now } = state;
  if (now < quarantine.nextPruneAt) return;
  quarantine.nextPruneAt = now + PRUNE_INTERVAL_MS;
  const expired: string[] = [];
  for (const [part, { touchedAt }] of quarantine.suspects) {
    if (now - touchedAt <= PART_TTL_MS) continue;
    quarantine.suspects.delete(part);
    expired.push(part);
  }
  // One daemon deletes from the store for all.
  const isDeleting = gateway !== undefined &&
    isLeader(gateway.groupPlanner.leadership, now);
  if (expired.length > 0 && isDeleting) {
    yield { kind: "forget_parts", parts: expired };
  }
}
