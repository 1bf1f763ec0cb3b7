/**
 * Derives the replica groups from the memberships that runners report and from the planned groups.
 *
 * @module
 */
import type { Gateway, Model, Runner } from "../gateway/types.ts";
import { isEvacuated } from "../placement/evacuations.ts";
import { DEAD_AFTER_FAILURES } from "./constants.ts";
import type { GroupPlanner } from "./types.ts";
import { listUnlisted, unlistedMember } from "./unlisted.ts";

/** A replica group as its members report it, or as it is planned. */
export interface GroupView {
  service: string;
  name: string;
  epoch: number;
  model: Model;
  domain: string;
  /** Members by rank; undefined where no runner has the rank. */
  members: (Runner | undefined)[];
}

const NAME_SEPARATOR = ":";

/**
 * Returns the name of a new group.
 *
 * The name contains the model's name, so that a later leader knows the model while the group forms.
 */
export function groupName(
  model: string,
  term: number,
  { count }: { count: number },
): string {
  return [model, term, count].join(NAME_SEPARATOR);
}

/** Name of a group: that of its model, which may hold any character, then term and count. */
const NAME_PATTERN = /^(.+):\d+:\d+$/s;

/**
 * Returns the model's name from a group's name; undefined where no planner has made that.
 *
 * @example
 * ```ts
 * modelOfGroup("qwen:72b:3:1"); // "qwen:72b"
 * ```
 */
export function modelOfGroup(name: string): string | undefined {
  return NAME_PATTERN.exec(name)?.[1];
}

/** Returns whether a runner is presumed dead, after consecutive failed health checks. */
export function isPresumedDead(
  groupPlanner: GroupPlanner,
  runner: Runner,
): boolean {
  const check = groupPlanner.healthChecks.get(runner.id);
  return check !== undefined &&
    check.runnerStartedUnixMs === runner.startedUnixMs &&
    check.failures >= DEAD_AFTER_FAILURES;
}

/** Options of {@link deriveGroups}. */
export interface DeriveGroupsOptions {
  service: string;
  models: readonly Model[];
  now: number;
}

/** Lists the groups that runners of a service report or that are planned; drops planned groups that are outdated. */
export function deriveGroups(
  gateway: Gateway,
  { service, models, now }: DeriveGroupsOptions,
): GroupView[] {
  const { runners, groupPlanner } = gateway;
  const epochs = new Map<string, number>();
  const known = [...runners.values()].filter((each) =>
    each.service === service
  );
  for (const { membership } of known) {
    if (membership === undefined) continue;
    const epoch = epochs.get(membership.group) ?? 0;
    epochs.set(membership.group, Math.max(epoch, membership.epoch));
  }
  for (const [name, planned] of groupPlanner.plannedGroups) {
    if (planned.service !== service) continue;
    const epoch = epochs.get(name);
    if (epoch !== undefined && epoch > planned.epoch) {
      groupPlanner.plannedGroups.delete(name);
      continue;
    }
    epochs.set(name, planned.epoch);
  }
  const unlisted = listUnlisted(gateway, now).filter((each) =>
    each.service === service && !runners.has(each.id)
  );
  const views: GroupView[] = [];
  for (const [name, epoch] of epochs) {
    const planned = groupPlanner.plannedGroups.get(name);
    const modelName = planned?.model ?? modelOfGroup(name);
    const model = models.find((each) => each.name === modelName);
    if (model === undefined) continue;
    const members = Array.from(
      { length: model.size },
      (_, rank) =>
        planned === undefined
          ? findMember(known, { name, epoch, rank }) ??
            findMember(unlisted, { name, epoch, rank })
          : runners.get(planned.members[rank]!) ??
            unlistedMember(gateway, planned.members[rank]!, now),
    );
    const domain = members.find((each) => each !== undefined)?.domain;
    if (domain === undefined) {
      groupPlanner.plannedGroups.delete(name);
      continue;
    }
    views.push({ service, name, epoch, model, domain, members });
  }
  return views;
}

function findMember(
  runners: readonly Runner[],
  { name, epoch, rank }: { name: string; epoch: number; rank: number },
): Runner | undefined {
  return runners.find(({ membership }) =>
    membership?.group === name && membership.epoch === epoch &&
    membership.rank === rank
  );
}

/** Returns whether any member of a group is in an evacuated availability zone; the group is then left as it is. */
export function isInEvacuatedZone(
  gateway: Gateway,
  { members }: GroupView,
): boolean {
  return members.some((each) =>
    each !== undefined && isEvacuated(gateway, each.zone)
  );
}

/** Returns whether a runner reports membership in the group at its current epoch. */
export function reportsMembership(
  { name, epoch }: GroupView,
  { membership }: Runner,
): boolean {
  return membership?.group === name && membership.epoch === epoch;
}
