/**
 * Chooses VMs for replica groups within fabric domains.
 *
 * @module
 */
import type { Member } from "../fold/types.ts";

/** A VM that may join a group. */
export type Candidate = Member;

/** Number of existing groups by availability zone and by fabric domain. */
export interface Placement {
  zones: ReadonlyMap<string, number>;
  domains: ReadonlyMap<string, number>;
}

function groupByDomain(
  candidates: readonly Candidate[],
): Map<string, Candidate[]> {
  const domains = new Map<string, Candidate[]>();
  for (const candidate of candidates) {
    const list = domains.get(candidate.domain) ?? [];
    list.push(candidate);
    domains.set(candidate.domain, list);
  }
  return domains;
}

/** Counts groups by the availability zone and fabric domain of their head. */
export function countPlacement(
  groups: readonly { members: readonly Member[] }[],
): Placement {
  const zones = new Map<string, number>();
  const domains = new Map<string, number>();
  for (const { members: [first] } of groups) {
    if (first === undefined) continue;
    zones.set(first.zone, (zones.get(first.zone) ?? 0) + 1);
    domains.set(first.domain, (domains.get(first.domain) ?? 0) + 1);
  }
  return { zones, domains };
}

/**
 * Chooses the members of a new group: the availability zone with the fewest groups, then the fabric domain that leaves
 * the fewest VMs without a group.
 *
 * Returns undefined where no single domain has enough free VMs.
 */
export function placeGroup(
  candidates: readonly Candidate[],
  size: number,
  { placement }: { placement: Placement },
): Member[] | undefined {
  let best:
    | { domain: string; sortKey: readonly number[]; members: Candidate[] }
    | undefined;
  for (const [domain, members] of groupByDomain(candidates)) {
    if (members.length < size) continue;
    const zone = members[0]?.zone ?? "";
    const sortKey = [
      placement.zones.get(zone) ?? 0,
      members.length % size,
      placement.domains.get(domain) ?? 0,
      members.length,
    ];
    if (best === undefined || compareSortKeys(sortKey, best.sortKey) < 0) {
      best = { domain, sortKey, members };
    }
  }
  return best?.members.toSorted((left, right) => left.vm < right.vm ? -1 : 1)
    .slice(0, size);
}

function compareSortKeys(
  left: readonly number[],
  right: readonly number[],
): number {
  for (const [index, value] of left.entries()) {
    const difference = value - (right[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

/** Chooses a spare for one lost member from the group's own fabric domain. */
export function placeSpare(
  candidates: readonly Candidate[],
  domain: string,
): Member | undefined {
  return candidates.find((candidate) => candidate.domain === domain);
}
