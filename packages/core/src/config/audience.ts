/**
 * Decides which callers, ranks and sites a deployment serves.
 *
 * @module
 */
import type { Deployment, Principal, Rank } from "./types.ts";

function matchesPattern(
  pattern: string,
  { owner, team, caller }: Principal,
): boolean {
  const parts = [owner, team, caller];
  return pattern.split("/").every((part, index) =>
    part === "*" || part === parts[index]
  );
}

/** Whether a deployment declares this caller. */
export function servesCaller(
  deployment: Deployment,
  principal: Principal,
): boolean {
  return deployment.callers.some((pattern) =>
    matchesPattern(pattern, principal)
  );
}

/**
 * Returns the part of a request that a deployment does not serve, or undefined if it serves the request.
 *
 * @example
 * ```ts
 * refusalReason(deployment, { principal, rank: "batch", site: "suva-a" });
 * ```
 */
export function refusalReason(
  deployment: Deployment,
  { principal, rank, site }: { principal: Principal; rank: Rank; site: string },
): string | undefined {
  if (!servesCaller(deployment, principal)) return "this caller";
  if (!deployment.ranks.includes(rank)) return `rank "${rank}"`;
  if (deployment.sites.length > 0 && !deployment.sites.includes(site)) {
    return `site "${site}"`;
  }
  return undefined;
}
