/**
 * Decides how many runners of each fabric domain should hold the weights of each model.
 *
 * A group is lost with any of its members, and only runners of its own domain can take their place. Groups of a model
 * therefore stand together in a domain, with spares for all of them: a spare is kept as long as the capacity that it is
 * likely to save exceeds its own.
 *
 * @module
 */
import type { Model } from "../gateway/types.ts";
import { MIN_LOSS_SHARE } from "./constants.ts";
import type { DomainView, LayoutOptions } from "./round_types.ts";

/** What a domain should hold of a model. */
export interface DomainTarget {
  groups: number;
  /** Runners beside those groups that should hold the weights. */
  spares: number;
  /** Those among them for which the weights of another model are given up. */
  urgentSpares: number;
}

/** Targets by domain, each by model. */
export type LayoutTarget = ReadonlyMap<
  string,
  ReadonlyMap<string, DomainTarget>
>;

/** Returns how many free runners of a domain hold or load a model's weights. */
export function countHolders(
  { staged, loading }: DomainView,
  { name }: Pick<Model, "name">,
): number {
  return (staged.get(name)?.length ?? 0) + (loading.get(name) ?? 0);
}

/** Returns how many groups of a model a domain has. */
export function countGroups(
  { groups }: DomainView,
  { name }: Pick<Model, "name">,
): number {
  return groups.get(name) ?? 0;
}

/** Returns how many runners of a domain are members of groups, free, or loading weights. */
function countRunners(domain: DomainView, models: readonly Model[]): number {
  return models.reduce(
    (sum, model) =>
      sum + countGroups(domain, model) * model.size +
      countHolders(domain, model),
    domain.unstaged.length,
  );
}

/**
 * Returns how many spares are worth keeping beside groups of a model in one domain.
 *
 * The n-th spare saves a whole group where at least n members are lost while others load the weights, and its own
 * capacity is that of one runner.
 *
 * @example
 * ```ts
 * // One member in twenty is lost within the time of a load.
 * sparesWorth({ size: 16, loadMs: 16_000 }, { groups: 1, lossRate: 0.05 / 16_000 }); // 2
 * ```
 */
export function sparesWorth(
  { size, loadMs }: Pick<Model, "size" | "loadMs">,
  { groups, lossRate, leastWorth = 1 }: {
    groups: number;
    lossRate: number;
    /** Capacity that a spare has to save, in runners. */
    leastWorth?: number;
  },
): number {
  const members = groups * size;
  const lossShare = Math.min(
    MAX_LOSS_SHARE,
    Math.max(MIN_LOSS_SHARE, lossRate * loadMs),
  );
  // Probability that exactly `lost` members are lost, and that at least as many are.
  let probability = (1 - lossShare) ** members;
  let atLeast = 1 - probability;
  let spares = 0;
  while (spares < members && size * atLeast >= leastWorth) {
    spares += 1;
    probability *= (members - spares + 1) / spares * lossShare /
      (1 - lossShare);
    atLeast -= probability;
  }
  return spares;
}

/** Capacity that a spare has to save so that another model's weights are given up for it, in runners. */
const RELOAD_WORTH = 4;
/** Above this share of lost members no number of spares helps. */
const MAX_LOSS_SHARE = 0.5;
/** Difference between the groups that a model has and needs from which on the target follows, in groups. */
const GROUP_TOLERANCE = 0.6;

/** Returns how many groups a model needs, by its share of the work of all runners. */
function countNeeded(
  domains: readonly DomainView[],
  model: Model,
  { models, demand, lossRate = 0 }: LayoutOptions,
): number {
  const workOf = ({ name, size }: Model) => (demand.get(name) ?? 0) * size;
  const allWork = models.reduce((sum, each) => sum + workOf(each), 0);
  if (allWork === 0) return 0;
  const runners = domains.reduce(
    (sum, domain) => sum + countRunners(domain, models),
    0,
  );
  const unit = model.size + sparesWorth(model, { groups: 1, lossRate });
  const needed = runners * workOf(model) / allWork / unit;
  const lost = domains.reduce(
    (sum, { coldLoss }) => sum + (coldLoss?.get(model.name) ?? 0),
    0,
  );
  const present = domains.reduce(
    (sum, domain) => sum + countGroups(domain, model),
    0,
  );
  const least = Math.ceil(needed + lost - GROUP_TOLERANCE);
  const most = Math.floor(needed + lost + GROUP_TOLERANCE);
  return Math.max(least, Math.min(most, present));
}

/** Idle holders of a model's weights for each runner that groups of another model give up, so that they serve again. */
const MIN_IDLE_FOR_EACH = 1.5;

/** Room of a domain for a model, and what it gets of it. */
interface Place {
  domain: DomainView;
  /** Runners that no larger model gets, and that are not in groups of smaller ones. */
  room: number;
  groups: number;
  /** Groups of smaller models that are given up, by model. */
  retired: Map<string, number>;
}

/** Orders places: those with the most groups of the model first, since groups of one domain share their spares. */
function comparePlaces(model: Model) {
  return (left: Place, right: Place) =>
    right.groups - left.groups ||
    countHolders(right.domain, model) - countHolders(left.domain, model) ||
    right.room - left.room;
}

/** Adds groups until there are enough or none fits, with spares beside them where possible. */
function placeGroups(
  places: readonly Place[],
  model: Model,
  { needed, lossRate }: { needed: number; lossRate: number },
): void {
  let count = places.reduce((sum, { groups }) => sum + groups, 0);
  const fits = ({ room, groups }: Place, hasSpares: boolean) => {
    const spares = hasSpares
      ? sparesWorth(model, { groups: groups + 1, lossRate })
      : 0;
    return (groups + 1) * model.size + spares <= room;
  };
  for (const hasSpares of [true, false]) {
    for (const place of places.toSorted(comparePlaces(model))) {
      while (count < needed && fits(place, hasSpares)) {
        place.groups += 1;
        count += 1;
      }
    }
  }
}

/**
 * Gives up groups of smaller models where few of their runners complete a group whose other members are idle.
 *
 * Without it, a domain that lacks one runner for a large group leaves all the others idle until new ones are added.
 */
function retireGroups(
  places: readonly Place[],
  model: Model,
  { needed, smaller }: { needed: number; smaller: readonly Model[] },
): void {
  let count = places.reduce((sum, { groups }) => sum + groups, 0);
  for (const place of places) {
    if (count >= needed) return;
    const { domain, room, groups } = place;
    const lack = (groups + 1) * model.size - room;
    const idle = countHolders(domain, model) -
      (groups - countGroups(domain, model)) * model.size;
    const [donor] = smaller.filter((each) => countGroups(domain, each) > 0);
    if (lack <= 0 || donor === undefined) continue;
    const retired = Math.ceil(lack / donor.size);
    if (retired > countGroups(domain, donor)) continue;
    if (idle < retired * donor.size * MIN_IDLE_FOR_EACH) continue;
    place.retired.set(donor.name, retired);
    place.room += retired * donor.size;
    place.groups += 1;
    count += 1;
  }
}

/**
 * Returns what each domain should hold. Groups that exist are kept; larger models come first, since they fit into fewer
 * places.
 *
 * @example
 * ```ts
 * const target = targetLayout(domains, { models, demand });
 * target.get("d1")?.get("large"); // { groups: 1, spares: 2 }
 * ```
 */
export function targetLayout(
  domains: readonly DomainView[],
  options: LayoutOptions,
): LayoutTarget {
  const { models, lossRate = 0 } = options;
  const left = new Map(
    domains.map((domain) => [domain.domain, countRunners(domain, models)]),
  );
  const target = new Map<string, Map<string, DomainTarget>>(
    domains.map(({ domain }) => [domain, new Map()]),
  );
  const bySize = models.toSorted((one, other) => other.size - one.size);
  const kept = new Map(domains.map((domain) => [
    domain.domain,
    new Map(models.map((model) => [model.name, countGroups(domain, model)])),
  ]));
  const keptOf = ({ domain }: DomainView, { name }: Model) =>
    kept.get(domain)!.get(name)!;
  for (const [index, model] of bySize.entries()) {
    const smaller = bySize.slice(index + 1);
    const places = domains.map((domain): Place => {
      const used = smaller.reduce(
        (sum, each) => sum + keptOf(domain, each) * each.size,
        0,
      );
      return {
        domain,
        room: left.get(domain.domain)! - used,
        groups: keptOf(domain, model),
        retired: new Map(),
      };
    });
    const isSmallest = smaller.length === 0;
    const needed = isSmallest ? Infinity : countNeeded(domains, model, options);
    placeGroups(places, model, { needed, lossRate });
    if (!isSmallest) retireGroups(places, model, { needed, smaller });
    for (const { domain: { domain }, retired } of places) {
      for (const [name, count] of retired) {
        const before = kept.get(domain)!.get(name)!;
        kept.get(domain)!.set(name, before - count);
      }
    }
    for (const { domain: { domain }, room, groups } of places) {
      const rest = Math.max(0, room - groups * model.size);
      const countSpares = (leastWorth: number) =>
        Math.min(rest, sparesWorth(model, { groups, lossRate, leastWorth }));
      const spares = countSpares(1);
      const urgentSpares = countSpares(RELOAD_WORTH);
      target.get(domain)!.set(model.name, { groups, spares, urgentSpares });
      left.set(domain, left.get(domain)! - groups * model.size - spares);
    }
  }
  return target;
}
