/**
 * Decides which model's weights a runner without a group should hold.
 *
 * Answers the load of two models of unlike size in small fabric domains, where runners come one by one: weights take
 * many times longer to load than a group takes to form, so they are laid out ahead of need, in whole groups first, then
 * as spares for large groups, which lose most by one death.
 *
 * @module
 */
import type { Model, Runner } from "../gateway/types.ts";
import { SPARE_FROM_SIZE } from "./constants.ts";

/** What is free and what exists in one fabric domain. */
export interface DomainView {
  domain: string;
  /** Free runners without weights and without an order to load any. */
  unstaged: Runner[];
  /** Free runners by the model that their host holds. */
  staged: Map<string, Runner[]>;
  /** Runners that are loading weights, by model. */
  loading: Map<string, number>;
  /** Groups by model. */
  groups: Map<string, number>;
}

/** Weights to load on a runner. */
export interface Staging {
  runner: Runner;
  model: Model;
}

/** Options of {@link nextStaging}. */
export interface LayoutOptions {
  models: readonly Model[];
  /** Work that each model is asked for, in any one unit. */
  weights: ReadonlyMap<string, number>;
}

/** Free runners of a domain that hold or load a model's weights. */
function heldFor(
  { staged, loading }: DomainView,
  { name }: Model,
): number {
  return (staged.get(name)?.length ?? 0) + (loading.get(name) ?? 0);
}

function groupsOf(domains: readonly DomainView[], model: Model): number {
  return domains.reduce((sum, domain) => {
    const whole = domain.groups.get(model.name) ?? 0;
    return sum + whole + heldFor(domain, model) / model.size;
  }, 0);
}

/** Returns models, the one with least capacity for its work first. */
export function byNeed(
  domains: readonly DomainView[],
  { models, weights }: LayoutOptions,
): Model[] {
  const cover = (model: Model) =>
    groupsOf(domains, model) / (weights.get(model.name) ?? 1);
  return [...models].sort((left, right) => cover(left) - cover(right));
}

/** Runners that a domain still lacks for a whole group, counted from those that hold the weights. */
function missingFor(domain: DomainView, model: Model): number {
  const rest = heldFor(domain, model) % model.size;
  return rest === 0 ? model.size : model.size - rest;
}

function wholeGroups(domain: DomainView, model: Model): number {
  return (domain.groups.get(model.name) ?? 0) +
    Math.floor(heldFor(domain, model) / model.size);
}

/** Spares that a domain lacks for its large groups, one for each. */
function lackingSpares(domain: DomainView, model: Model): number {
  if (model.size < SPARE_FROM_SIZE) return 0;
  const spares = heldFor(domain, model) % model.size;
  return Math.max(0, wholeGroups(domain, model) - spares);
}

/** Runners of a domain that other models must leave as spares. */
function reservedFrom(
  domain: DomainView,
  { model, models }: { model: Model; models: readonly Model[] },
): number {
  return models.reduce(
    (sum, other) => other === model ? sum : sum + lackingSpares(domain, other),
    0,
  );
}

/** Runners that serve, hold or load models other than the given one. */
function boundToOthers(
  domain: DomainView,
  { model, models }: { model: Model; models: readonly Model[] },
): number {
  return models.reduce(
    (sum, other) =>
      other === model ? sum : sum + heldFor(domain, other) +
        (domain.groups.get(other.name) ?? 0) * other.size,
    0,
  );
}

/**
 * Returns the next runner to load weights on, or undefined where every free runner holds some.
 *
 * @example
 * ```ts
 * const staging = nextStaging(domains, { models, weights });
 * staging?.model.name; // the model with least capacity for its work
 * ```
 */
export function nextStaging(
  domains: readonly DomainView[],
  options: LayoutOptions,
): Staging | undefined {
  const open = domains.filter(({ unstaged }) => unstaged.length > 0);
  const models = byNeed(domains, options);
  return wholeStaging(open, models) ?? spareStaging(open, models) ??
    exchangeStaging(domains, models);
}

/**
 * Completes a group, for the model with least capacity first, where fewest runners lack the weights.
 *
 * Domains are kept to one model as far as may be: what a death leaves over of one group is then a spare for the others.
 */
function wholeStaging(
  open: readonly DomainView[],
  models: readonly Model[],
): Staging | undefined {
  for (const model of models) {
    const others = { model, models };
    const fitting = open.filter((domain) =>
      domain.unstaged.length - reservedFrom(domain, others) >=
        missingFor(domain, model)
    );
    fitting.sort((left, right) =>
      missingFor(left, model) - missingFor(right, model) ||
      boundToOthers(left, others) - boundToOthers(right, others) ||
      left.unstaged.length - right.unstaged.length
    );
    const domain = fitting[0];
    if (domain !== undefined) return { runner: domain.unstaged[0]!, model };
  }
  return undefined;
}

/** Keeps a spare for a large group, else for groups of the smallest model. */
function spareStaging(
  open: readonly DomainView[],
  models: readonly Model[],
): Staging | undefined {
  for (const model of models) {
    const domain = open.find((each) => lackingSpares(each, model) > 0);
    if (domain !== undefined) return { runner: domain.unstaged[0]!, model };
  }
  const [first] = open;
  if (first === undefined || models.length === 0) return undefined;
  const smallest = models.reduce((left, right) =>
    right.size < left.size ? right : left
  );
  return { runner: first.unstaged[0]!, model: smallest };
}

/** Completes a group of the neediest model with runners that hold another one's weights and form no group. */
function exchangeStaging(
  domains: readonly DomainView[],
  models: readonly Model[],
): Staging | undefined {
  const [model] = models;
  if (model === undefined) return undefined;
  for (const domain of domains) {
    const others = leftOver(domain, { model, models });
    const missing = missingFor(domain, model);
    const [runner] = others;
    if (runner === undefined || others.length < missing) continue;
    return { runner, model };
  }
  return undefined;
}

/** Free runners that hold the weights of other models and are no spares of their large groups. */
function leftOver(
  domain: DomainView,
  { model, models }: { model: Model; models: readonly Model[] },
): Runner[] {
  return models.flatMap((other) => {
    if (other === model) return [];
    const held = domain.staged.get(other.name) ?? [];
    const isLarge = other.size >= SPARE_FROM_SIZE;
    const spares = isLarge ? domain.groups.get(other.name) ?? 0 : 0;
    return held.slice(spares);
  });
}
