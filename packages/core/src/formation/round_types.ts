/**
 * Types of one round of planning: the groups and free runners of each fabric domain.
 *
 * @module
 */
import type { EngineProfile, Model, Runner } from "../gateway/types.ts";
import type { GroupView } from "./group_view.ts";
import type { MemberLosses } from "./types.ts";

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

/** Options of the layout of weights. */
export interface LayoutOptions {
  models: readonly Model[];
  /** Demand for each model, all in the same unit. */
  demand: ReadonlyMap<string, number>;
  /** Members that groups lose, for each member and ms; 0 where it is not given. */
  lossRate?: number;
}

/** Input of one round of planning for a service. */
export interface PlanningRound {
  service: string;
  engine: EngineProfile;
  views: GroupView[];
  domains: Map<string, DomainView>;
  losses: MemberLosses;
}
