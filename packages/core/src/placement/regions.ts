/**
 * Restricts requests to the regions that their route and their team allow.
 *
 * @module
 */
import type { Gateway, Route, Team } from "../gateway/types.ts";

/**
 * Returns the regions whose runners may serve a request: those that both the route and the team allow; undefined where
 * any may.
 *
 * @example
 * ```ts
 * const route = { allowedRegions: ["fiji", "tonga"] };
 * allowedRegionsOf(route, { allowedRegions: ["tonga"] }); // ["tonga"]
 * ```
 */
export function allowedRegionsOf(
  { allowedRegions: byRoute }: Pick<Route, "allowedRegions">,
  team: Pick<Team, "allowedRegions"> | undefined,
): readonly string[] | undefined {
  const byTeam = team?.allowedRegions;
  if (byRoute === undefined || byTeam === undefined) return byRoute ?? byTeam;
  return byRoute.filter((region) => byTeam.includes(region));
}

/** Returns whether a zone lies in one of the regions; a zone without a known region lies in none. */
export function isInRegions(
  { settings }: Gateway,
  zone: string,
  regions: readonly string[] | undefined,
): boolean {
  if (regions === undefined) return true;
  const region = settings.regions[zone];
  return region !== undefined && regions.includes(region);
}
