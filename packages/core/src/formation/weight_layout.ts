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
import {
  countGroups,
  countHolders,
  type LayoutTarget,
  targetLayout,
} from "./layout_target.ts";
import { sparesWanted } from "./member_losses.ts";
import type { DomainView, LayoutOptions } from "./round_types.ts";

/** A runner and the model whose weights it is to load. */
export interface Staging {
  runner: Runner;
  model: Model;
}

function countCapacity(domains: readonly DomainView[], model: Model): number {
  return domains.reduce((sum, domain) => {
    const whole = countGroups(domain, model);
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
    countCapacity(domains, model) / (demand.get(model.name) ?? 1);
  return [...models].sort((left, right) => coverage(left) - coverage(right));
}

/** What a domain should hold of a model, and how many of its free runners hold or load the weights. */
interface Position {
  domain: DomainView;
  model: Model;
  /** Free runners that the groups still to be formed need. */
  forGroups: number;
  spares: number;
  urgentSpares: number;
  /** Spares that no model with smaller groups gets. */
  keptSpares: number;
  holders: number;
}

function positionOf(
  target: LayoutTarget,
  { domain, model, lossRate }: {
    domain: DomainView;
    model: Model;
    lossRate: number;
  },
): Position {
  const { groups, spares, urgentSpares } = target.get(domain.domain)!
    .get(model.name)!;
  const missing = Math.max(0, groups - countGroups(domain, model));
  return {
    domain,
    model,
    forGroups: missing * model.size,
    spares,
    urgentSpares,
    keptSpares: Math.max(spares, sparesWanted(model, { groups, lossRate })),
    holders: countHolders(domain, model),
  };
}

/** Returns how many runners a domain lacks for the groups of a model that it should have. */
function lackForGroups({ forGroups, holders }: Position): number {
  return Math.max(0, forGroups - holders);
}

/** Returns how many runners a domain lacks for groups and the most useful spares of a model. */
function lackWithUrgentSpares(
  { forGroups, urgentSpares, holders }: Position,
): number {
  return Math.max(0, forGroups + urgentSpares - holders);
}

/** Returns how many runners a domain lacks for groups and spares of a model. */
function lackWithSpares({ forGroups, spares, holders }: Position): number {
  return Math.max(0, forGroups + spares - holders);
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
  const target = targetLayout(domains, options);
  const byNeed = sortByNeed(domains, options);
  const positions = byNeed.flatMap((model) =>
    domains.map((domain) => positionOf(target, { domain, model, lossRate }))
  );
  const bySize = positions.toSorted((left, right) =>
    right.model.size - left.model.size
  );
  return stageForGroup(positions) ?? stageSpare(bySize) ??
    stageRest(bySize) ?? replaceStaging(positions, lackForGroups) ??
    replaceStaging(bySize, lackWithUrgentSpares);
}

/** Completes a group of the model with the least capacity, in the domain that lacks the fewest runners. */
function stageForGroup(positions: readonly Position[]): Staging | undefined {
  const open = positions.filter((each) =>
    lackForGroups(each) > 0 && each.domain.unstaged.length > 0
  );
  const model = open[0]?.model;
  const fitting = open.filter((each) => each.model === model)
    .toSorted((left, right) =>
      lackForNext(left) - lackForNext(right) ||
      countGroups(right.domain, right.model) -
        countGroups(left.domain, left.model)
    );
  const [position] = fitting;
  if (position === undefined) return undefined;
  return { runner: position.domain.unstaged[0]!, model: position.model };
}

/** Returns how many runners the next group of a domain lacks. */
function lackForNext({ model, holders }: Position): number {
  return model.size - holders % model.size;
}

/** Loads the weights of a model on a spare, those of the largest model first. */
function stageSpare(positions: readonly Position[]): Staging | undefined {
  const position = positions.find((each) =>
    lackWithSpares(each) > 0 && each.domain.unstaged.length > 0
  );
  if (position === undefined) return undefined;
  return { runner: position.domain.unstaged[0]!, model: position.model };
}

/** Loads weights on a runner that no target names: as one more spare of a large group, else those of the smallest model. */
function stageRest(bySize: readonly Position[]): Staging | undefined {
  const unstaged = bySize.filter(({ domain }) => domain.unstaged.length > 0);
  const position =
    unstaged.find(({ spares, keptSpares, forGroups, holders }) =>
      keptSpares > spares && holders < forGroups + keptSpares
    ) ??
      unstaged.find(({ domain, forGroups, model }) =>
        forGroups + countGroups(domain, model) > 0
      ) ?? unstaged.at(-1);
  if (position === undefined) return undefined;
  return { runner: position.domain.unstaged[0]!, model: position.model };
}

/** Gives a free runner that is one too many of its model to a model that lacks some in the same domain. */
function replaceStaging(
  positions: readonly Position[],
  lackOf: (position: Position) => number,
): Staging | undefined {
  for (const position of positions) {
    if (lackOf(position) === 0) continue;
    const { domain, model } = position;
    for (const other of positions) {
      if (other.domain !== domain || other.model === model) continue;
      const kept = other.model.size < model.size
        ? other.spares
        : other.keptSpares;
      const surplus = other.holders - other.forGroups - kept;
      const [runner] = domain.staged.get(other.model.name) ?? [];
      if (surplus > 0 && runner !== undefined) return { runner, model };
    }
  }
  return undefined;
}
