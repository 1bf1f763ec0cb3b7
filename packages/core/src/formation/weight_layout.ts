/**
 * Chooses which model's weights to load on runners without a group.
 *
 * Models differ in size, fabric domains are small, and runners appear one by one. Weights take many times longer to
 * load than a group takes to form, so they are loaded in advance: first for whole groups, then for spares of large
 * groups, which lose the most capacity when one member dies.
 *
 * @module
 */
import type { Model, Runner } from "../gateway/types.ts";
import { sparesInUse, sparesWanted } from "./member_losses.ts";

/** Groups and free runners of one fabric domain. */
export interface DomainView {
  domain: string;
  /** Free runners without weights and without an order to load any. */
  unstaged: Runner[];
  /** Free runners by the model whose weights their host holds. */
  staged: Map<string, Runner[]>;
  /** Number of runners that are loading weights, by model. */
  loading: Map<string, number>;
  /** Number of groups by model. */
  groups: Map<string, number>;
  /** Capacity that cold groups lack, in groups, by model. */
  coldLoss?: Map<string, number>;
}

/** A runner and the model whose weights it is to load. */
export interface Staging {
  runner: Runner;
  model: Model;
}

/** Options of {@link nextStaging}. */
export interface LayoutOptions {
  models: readonly Model[];
  /** Demand for each model, all in the same unit. */
  demand: ReadonlyMap<string, number>;
  /** Members that groups lose, for each member and ms; 0 where it is not given. */
  lossRate?: number;
}

/** Returns how many free runners of a domain hold or load a model's weights. */
function countHolders(
  { staged, loading }: DomainView,
  { name }: Model,
): number {
  return (staged.get(name)?.length ?? 0) + (loading.get(name) ?? 0);
}

function countGroups(domains: readonly DomainView[], model: Model): number {
  return domains.reduce((sum, domain) => {
    const whole = domain.groups.get(model.name) ?? 0;
    const lost = domain.coldLoss?.get(model.name) ?? 0;
    return sum + whole - lost + countHolders(domain, model) / model.size;
  }, 0);
}

/** Returns the models, those with the least capacity for their demand first. */
export function sortByNeed(
  domains: readonly DomainView[],
  { models, demand }: LayoutOptions,
): Model[] {
  const coverage = (model: Model) =>
    countGroups(domains, model) / (demand.get(model.name) ?? 1);
  return [...models].sort((left, right) => coverage(left) - coverage(right));
}

/** Returns how many more runners of a domain must load a model's weights to complete a group. */
function countMissing(domain: DomainView, model: Model): number {
  const rest = countHolders(domain, model) % model.size;
  return rest === 0 ? model.size : model.size - rest;
}

function countWholeGroups(domain: DomainView, model: Model): number {
  return (domain.groups.get(model.name) ?? 0) +
    Math.floor(countHolders(domain, model) / model.size);
}

/** A model with all that share the runners, and the rate at which their groups lose members. */
interface Selection {
  model: Model;
  models: readonly Model[];
  lossRate: number;
}

/**
 * Returns how many spares the groups of a model keep from another one. A spare of a small group saves less than one of a
 * large group, so that only those likely to be used are kept from a model with larger groups.
 */
function countKept(
  model: Model,
  { from, groups, lossRate }: { from: Model; groups: number; lossRate: number },
): number {
  return model.size < from.size
    ? Math.min(groups, sparesInUse(model, { groups, lossRate }))
    : sparesWanted(model, { groups, lossRate });
}

/** Returns how many spares a domain lacks for its groups of a model. */
function countMissingSpares(
  domain: DomainView,
  { model, lossRate }: Pick<Selection, "model" | "lossRate">,
): number {
  const groups = countWholeGroups(domain, model);
  const spares = countHolders(domain, model) % model.size;
  return Math.max(0, sparesWanted(model, { groups, lossRate }) - spares);
}

/** Returns how many runners of a domain are reserved as spares of other models. */
function countReserved(
  domain: DomainView,
  { model, models, lossRate }: Selection,
): number {
  return models.reduce((sum, other) => {
    if (other === model) return sum;
    const groups = countWholeGroups(domain, other);
    const kept = countKept(other, { from: model, groups, lossRate });
    const spares = countHolders(domain, other) % other.size;
    return sum + Math.max(0, kept - spares);
  }, 0);
}

/** Returns how many runners of a domain serve models other than the given one, or hold or load their weights. */
function countUsedByOthers(
  domain: DomainView,
  { model, models }: Pick<Selection, "model" | "models">,
): number {
  return models.reduce(
    (sum, other) =>
      other === model ? sum : sum + countHolders(domain, other) +
        (domain.groups.get(other.name) ?? 0) * other.size,
    0,
  );
}

/**
 * Returns the next runner to load weights on, or undefined where no free runner should load any.
 *
 * @example
 * ```ts
 * const staging = nextStaging(domains, { models, demand });
 * staging?.model.name; // the model with the least capacity for its demand
 * ```
 */
export function nextStaging(
  domains: readonly DomainView[],
  options: LayoutOptions,
): Staging | undefined {
  const { lossRate = 0 } = options;
  const available = domains.filter(({ unstaged }) => unstaged.length > 0);
  const models = sortByNeed(domains, options);
  return stageForGroup(available, { models, lossRate }) ??
    stageSpare(available, { models, lossRate }) ??
    replaceStaging(domains, { models, lossRate }) ??
    replaceBySpare(domains, { models, lossRate });
}

/** The models, those with the least capacity first, and the rate at which their groups lose members. */
type Needs = Pick<Selection, "models" | "lossRate">;

/**
 * Completes a group of the model with the least capacity, in the domain where the fewest runners lack the weights.
 *
 * Domains are kept to one model where possible: the survivors of a group that lost a member can then replace members of
 * the other groups.
 */
function stageForGroup(
  available: readonly DomainView[],
  { models, lossRate }: Needs,
): Staging | undefined {
  for (const model of models) {
    const selection = { model, models, lossRate };
    const fitting = available.filter((domain) =>
      domain.unstaged.length - countReserved(domain, selection) >=
        countMissing(domain, model)
    );
    fitting.sort((left, right) =>
      countMissing(left, model) - countMissing(right, model) ||
      countUsedByOthers(left, selection) -
        countUsedByOthers(right, selection) ||
      left.unstaged.length - right.unstaged.length
    );
    const domain = fitting[0];
    if (domain !== undefined) return { runner: domain.unstaged[0]!, model };
  }
  return undefined;
}

/** Loads the weights of a large group's model on a spare, or else those of the smallest model. */
function stageSpare(
  available: readonly DomainView[],
  { models, lossRate }: Needs,
): Staging | undefined {
  for (const model of models) {
    const domain = available.find((each) =>
      countMissingSpares(each, { model, lossRate }) > 0
    );
    if (domain !== undefined) return { runner: domain.unstaged[0]!, model };
  }
  const [first] = available;
  if (first === undefined || models.length === 0) return undefined;
  const smallest = models.reduce((left, right) =>
    right.size < left.size ? right : left
  );
  return { runner: first.unstaged[0]!, model: smallest };
}

/** Completes a group of the model with the least capacity from free runners that hold another model's weights. */
function replaceStaging(
  domains: readonly DomainView[],
  { models, lossRate }: Needs,
): Staging | undefined {
  const [model] = models;
  if (model === undefined) return undefined;
  for (const domain of domains) {
    const leftovers = listLeftovers(domain, { model, models, lossRate });
    const missing = countMissing(domain, model);
    const [runner] = leftovers;
    if (runner === undefined || leftovers.length < missing) continue;
    return { runner, model };
  }
  return undefined;
}

/** Turns free runners that hold the weights of a model with smaller groups into missing spares of a larger one. */
function replaceBySpare(
  domains: readonly DomainView[],
  { models, lossRate }: Needs,
): Staging | undefined {
  for (const model of models) {
    const selection = { model, models, lossRate };
    for (const domain of domains) {
      if (countMissingSpares(domain, selection) === 0) continue;
      const runner = listLeftovers(domain, selection).find(({ staged }) =>
        models.some(({ name, size }) => name === staged[0] && size < model.size)
      );
      if (runner !== undefined) return { runner, model };
    }
  }
  return undefined;
}

/** Lists free runners that hold the weights of other models and are not needed as spares of their groups. */
function listLeftovers(
  domain: DomainView,
  { model, models, lossRate }: Selection,
): Runner[] {
  return models.flatMap((other) => {
    if (other === model) return [];
    const holders = domain.staged.get(other.name) ?? [];
    const groups = domain.groups.get(other.name) ?? 0;
    const kept = countKept(other, { from: model, groups, lossRate });
    return holders.slice(kept);
  });
}
