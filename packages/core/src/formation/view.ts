/**
 * Sees the replica groups in what runners say of themselves.
 *
 * @module
 */
import type { Gateway, Model, Runner } from "../gateway/types.ts";
import { DEAD_MISSES } from "./constants.ts";
import type { Formation } from "./types.ts";

/** A replica group as its members report it. */
export interface GroupView {
  name: string;
  epoch: number;
  model: Model;
  domain: string;
  /** Members by rank; undefined where none reports the rank. */
  members: (Runner | undefined)[];
}

const NAME_SEPARATOR = ":";

/** Makes the name of a new group; it carries the model, so that a later planner knows it while the group forms. */
export function groupName(
  model: string,
  term: number,
  { count }: { count: number },
): string {
  return [model, term, count].join(NAME_SEPARATOR);
}

/** Returns the model in a group's name. */
function modelOfGroup(name: string): string {
  return name.split(NAME_SEPARATOR)[0]!;
}

/** True while a runner seems dead to direct status checks. */
export function seemsDead(formation: Formation, runner: Runner): boolean {
  const probe = formation.probes.get(runner.id);
  return probe !== undefined && probe.born === runner.born &&
    probe.misses >= DEAD_MISSES;
}

/** Options of {@link viewGroups}. */
export interface ViewOptions {
  service: string;
  models: readonly Model[];
}

/** Lists the groups that the runners of a service report or that are planned. */
export function viewGroups(
  { runners, formation }: Gateway,
  { service, models }: ViewOptions,
): GroupView[] {
  const epochs = new Map<string, number>();
  const known = [...runners.values()].filter((each) =>
    each.service === service
  );
  for (const { membership } of known) {
    if (membership === undefined) continue;
    const epoch = epochs.get(membership.group) ?? 0;
    epochs.set(membership.group, Math.max(epoch, membership.epoch));
  }
  for (const [name, intent] of formation.intents) {
    const epoch = epochs.get(name);
    if (epoch !== undefined && epoch > intent.epoch) {
      formation.intents.delete(name);
      continue;
    }
    epochs.set(name, intent.epoch);
  }
  const views: GroupView[] = [];
  for (const [name, epoch] of epochs) {
    const model = models.find((each) => each.name === modelOfGroup(name));
    if (model === undefined) continue;
    const intent = formation.intents.get(name);
    const members = Array.from(
      { length: model.size },
      (_, rank) =>
        intent === undefined
          ? known.find(({ membership }) =>
            membership?.group === name && membership.epoch === epoch &&
            membership.rank === rank
          )
          : runners.get(intent.members[rank]!),
    );
    const domain = members.find((each) => each !== undefined)?.domain;
    if (domain === undefined) {
      formation.intents.delete(name);
      continue;
    }
    views.push({ name, epoch, model, domain, members });
  }
  return views;
}

/** True where a runner reports its place in the group as it is planned. */
export function reportsPlace(
  { name, epoch }: GroupView,
  { membership }: Runner,
): boolean {
  return membership?.group === name && membership.epoch === epoch;
}
