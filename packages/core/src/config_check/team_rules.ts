/**
 * Rules for the teams of a routing configuration. Findings never contain a key.
 *
 * @module
 */
import type { RoutingDocument } from "../gateway/fleet_types.ts";
import type { RuleFinding } from "./types.ts";

/** Lists teams without keys, and keys held by two teams, of which only the last team's counts. */
export function* findBrokenTeams(
  { teams = [] }: Pick<RoutingDocument, "teams">,
): Iterable<RuleFinding> {
  const holders = new Map<string, string>();
  for (const { name, keys } of teams) {
    const path = ["teams", name, "keys"];
    if (keys.length === 0) {
      yield {
        severity: "error",
        rule: "team_without_keys",
        path,
        message: "has no key, so nobody can use it; add one or remove the team",
      };
    }
    const others = new Set<string>();
    for (const key of keys) {
      const other = holders.get(key);
      if (other !== undefined && other !== name) others.add(other);
      holders.set(key, name);
    }
    for (const other of others) {
      yield {
        severity: "error",
        rule: "shared_key",
        path,
        message:
          `shares a key with team "${other}", whose requests with it count as those of "${name}"; give each team its own`,
      };
    }
  }
}
