/**
 * Reads weights and rank settings for admission from the configuration.
 *
 * @module
 */
import type { Config, Rank } from "../config/types.ts";
import type { State } from "../state/types.ts";

/** Settings of one rank. */
export type RankPolicy = Config["ranks"][Rank];

/** Returns the weight of an owner, team or caller by its path. */
export function weightOf(
  state: State,
  [owner = "", team, caller]: readonly string[],
): number {
  const ownerConfig = state.config?.config.owners[owner];
  if (team === undefined) return ownerConfig?.share ?? 1;
  const teamConfig = ownerConfig?.teams[team];
  if (caller === undefined) return teamConfig?.weight ?? 1;
  return teamConfig?.callers[caller]?.weight ?? 1;
}

/** Returns the settings of a rank in force; throws before a configuration is in force. */
export function rankPolicy(state: State, rank: Rank): RankPolicy {
  if (state.config === undefined) {
    throw new Error(
      "Cannot read rank settings before a configuration is in force",
    );
  }
  return state.config.config.ranks[rank];
}
