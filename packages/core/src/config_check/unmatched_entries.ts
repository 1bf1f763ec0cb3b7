/**
 * Finds entries of the fleet's configuration that can never match a request.
 *
 * @module
 */
import { servesCaller } from "../config/audience.ts";
import { listCallers } from "../config/resolve.ts";
import {
  type Config,
  type Deployment,
  type Principal,
  RANKS,
} from "../config/types.ts";
import type { RuleFinding } from "./types.ts";

/** What is known beside the configuration of one site. */
export interface EntryContext {
  /** Sites that have an overlay. */
  sites: readonly string[];
}

function warning(
  rule: string,
  path: readonly PropertyKey[],
  message: string,
): RuleFinding {
  return { severity: "warning", rule, path, message };
}

/** Lists the entries of a configuration that can never match a request. */
export function* findUnmatchedEntries(
  config: Config,
  context: EntryContext,
): Generator<RuleFinding, void, void> {
  yield* findEmptyOwners(config);
  const principals = listCallers(config).map(({ principal }) => principal);
  for (const [name, deployment] of Object.entries(config.deployments)) {
    const path = ["deployments", name];
    yield* findUnmatchedPatterns(deployment, { path, principals });
    yield* findUnknownSites(deployment, { path, context });
    yield* findRepeated(deployment, path);
  }
  yield* findUnservedCallers(config, principals);
  yield* findUnservedRanks(config);
}

function* findEmptyOwners({ owners }: Config): Iterable<RuleFinding> {
  for (const [owner, { teams }] of Object.entries(owners)) {
    const path = ["owners", owner, "teams"];
    if (Object.keys(teams).length === 0) {
      yield warning(
        "owner_without_teams",
        path,
        "has no team, so nobody can send requests for this owner; add a team or remove the owner",
      );
    }
    for (const [team, { callers }] of Object.entries(teams)) {
      if (Object.keys(callers).length > 0) continue;
      yield warning(
        "team_without_keys",
        [...path, team, "callers"],
        "has no caller and so no key; add a caller or remove the team",
      );
    }
  }
}

function* findUnmatchedPatterns(
  deployment: Deployment,
  { path, principals }: {
    path: readonly PropertyKey[];
    principals: readonly Principal[];
  },
): Iterable<RuleFinding> {
  for (const [index, pattern] of deployment.callers.entries()) {
    const entry = [...path, "callers", index];
    const single: Deployment = { ...deployment, callers: [pattern] };
    if (!principals.some((principal) => servesCaller(single, principal))) {
      yield warning(
        "unmatched_callers",
        entry,
        `"${pattern}" matches no team or caller; correct the name or remove the entry`,
      );
    }
    const cover = findCover(deployment.callers, index);
    if (cover === undefined) continue;
    yield warning(
      "covered_callers",
      entry,
      `"${pattern}" adds nothing to "${cover}"; remove one of them`,
    );
  }
}

/** Returns another pattern that matches all that one matches; of two equal ones, only the first covers. */
function findCover(
  patterns: readonly string[],
  index: number,
): string | undefined {
  const pattern = patterns[index]!;
  return patterns.find((other, position) =>
    position !== index && covers(other, pattern) &&
    (position < index || !covers(pattern, other))
  );
}

function covers(wide: string, narrow: string): boolean {
  const narrowParts = narrow.split("/");
  return wide.split("/").every((part, index) =>
    part === "*" || part === narrowParts[index]
  );
}

function* findUnknownSites(
  { sites }: Deployment,
  { path, context }: { path: readonly PropertyKey[]; context: EntryContext },
): Iterable<RuleFinding> {
  for (const [index, site] of sites.entries()) {
    if (context.sites.includes(site)) continue;
    const message =
      `no overlay has the site "${site}"; correct the name, or add an overlay for the site, which may be empty`;
    yield warning("unknown_site", [...path, "sites", index], message);
  }
}

function* findRepeated(
  { ranks, sites }: Deployment,
  path: readonly PropertyKey[],
): Iterable<RuleFinding> {
  for (const [field, values] of Object.entries({ ranks, sites })) {
    for (const [index, value] of values.entries()) {
      if ((values as readonly string[]).indexOf(value) === index) continue;
      const message = `"${value}" is listed before; remove it here`;
      yield warning("repeated_entry", [...path, field, index], message);
    }
  }
}

function* findUnservedCallers(
  { deployments }: Config,
  principals: readonly Principal[],
): Iterable<RuleFinding> {
  const all = Object.values(deployments);
  for (const principal of principals) {
    if (all.some((deployment) => servesCaller(deployment, principal))) continue;
    const { owner, team, caller } = principal;
    yield warning(
      "caller_without_deployment",
      ["owners", owner, "teams", team, "callers", caller],
      "no deployment serves this caller; add it to the callers of one or remove it",
    );
  }
}

function* findUnservedRanks(
  { ranks, deployments }: Config,
): Iterable<RuleFinding> {
  const served = new Set(
    Object.values(deployments).flatMap((deployment) => deployment.ranks),
  );
  for (const rank of RANKS) {
    if (served.has(rank) || ranks[rank].floor === 0) continue;
    yield warning(
      "unserved_rank",
      ["ranks", rank, "floor"],
      "no deployment serves this rank, so its floor keeps nothing; set it to 0 or add the rank to a deployment",
    );
  }
}
