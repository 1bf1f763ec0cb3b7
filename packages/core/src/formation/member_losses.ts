/**
 * Measures how often groups lose members, which decides how many spares they need.
 *
 * @module
 */
import type { Model } from "../gateway/types.ts";
import type { GroupView } from "./group_view.ts";
import type { GroupPlanner, MemberLosses } from "./types.ts";
import { LOSS_WINDOW_MS, MIN_SIZE_WITH_SPARE } from "./constants.ts";

/** Creates the record of a service whose groups have lost no member yet. */
export function createMemberLosses(): MemberLosses {
  return {
    losses: 0,
    memberMs: 0,
    countedUntil: undefined,
    counted: new Map(),
  };
}

/** Returns the record of a service. */
export function memberLossesOf(
  { memberLosses }: Pick<GroupPlanner, "memberLosses">,
  service: string,
): MemberLosses {
  const known = memberLosses.get(service) ?? createMemberLosses();
  memberLosses.set(service, known);
  return known;
}

/** Adds the time that the members of all groups have spent since the last round, and lets what is old decay. */
export function countExposure(
  record: MemberLosses,
  { views, now }: { views: readonly GroupView[]; now: number },
): void {
  const elapsedMs = now - (record.countedUntil ?? now);
  record.countedUntil = now;
  const kept = Math.exp(-elapsedMs / LOSS_WINDOW_MS);
  record.losses *= kept;
  record.memberMs *= kept;
  const names = new Set<string>();
  for (const { name, members } of views) {
    names.add(name);
    record.memberMs += members.length * elapsedMs;
  }
  for (const name of record.counted.keys()) {
    if (!names.has(name)) record.counted.delete(name);
  }
}

/**
 * Counts the members that a group lacks as lost, each once in an epoch of the group. A group that lacks most of its
 * members has lost its domain, or its path to it, for which no number of spares there makes up.
 */
export function countLosses(
  record: MemberLosses,
  { name, epoch, members }: Pick<GroupView, "name" | "epoch" | "members">,
  lacking: number,
): void {
  const known = record.counted.get(name);
  const counted = known?.epoch === epoch ? known.lost : 0;
  const isOutage = lacking * 2 > members.length;
  const lost = isOutage ? 0 : Math.max(lacking, counted);
  record.losses = Math.max(0, record.losses + lost - counted);
  record.counted.set(name, { epoch, lost });
}

/** Exposure from which on a rate counts in full, summed over all members, ms; one early loss tells little. */
const MIN_MEMBER_MS = 400_000;

/** Returns the members lost for each member and ms; 0 where none was lost. */
export function lossRateOf({ losses, memberMs }: MemberLosses): number {
  return losses / Math.max(memberMs, MIN_MEMBER_MS);
}

/** Returns the losses that groups of a model in one domain expect while weights are loaded for a substitute. */
function expectedLosses(
  { size, loadMs }: Pick<Model, "size" | "loadMs">,
  { groups, lossRate }: { groups: number; lossRate: number },
): number {
  return groups * size * loadMs * lossRate;
}

/**
 * Returns how many spares the groups of a model in one domain need: one for each large group, and as many as are likely
 * to be used up while others load the weights.
 *
 * @example
 * ```ts
 * // Two groups of 16 that lose a member every 16 s each, the time of a load: 2 losses, and a margin for chance.
 * sparesWanted({ size: 16, loadMs: 16_000 }, { groups: 2, lossRate: 1 / 256_000 }); // 4
 * ```
 */
export function sparesWanted(
  model: Pick<Model, "size" | "loadMs">,
  options: { groups: number; lossRate: number },
): number {
  if (model.size < MIN_SIZE_WITH_SPARE) return 0;
  return Math.max(options.groups, sparesInUse(model, options));
}

/** Returns how many of these spares are likely to be used up while others load the weights. */
export function sparesInUse(
  model: Pick<Model, "size" | "loadMs">,
  options: { groups: number; lossRate: number },
): number {
  const expected = expectedLosses(model, options);
  return Math.ceil(expected + Math.sqrt(expected));
}
