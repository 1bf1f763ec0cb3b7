/**
 * Compares the fleet's configuration with the one in force, by meaning.
 *
 * @module
 */
import type { Config } from "../config/types.ts";
import { compareParts, type InFlightEffects, type Parts } from "./changes.ts";
import type { PartChange } from "./types.ts";

type PartType = "owner" | "team" | "caller" | "deployment" | "rank" | "policy";

const NONE = "none";
const KEYS_REMOVED =
  "requests in flight go on; its keys are refused from then on";
const LIMITS_CHANGED =
  "requests in flight go on; keys and limits count from the next arrival, weights once nothing of it waits";
const POLICY_CHANGED = "counts from the next decision on each request";
const RANK_CHANGED =
  "requests in flight keep their deadline and first-token target; floor and queue wait count at once";

const IN_FLIGHT: InFlightEffects<PartType> = {
  owner: { added: NONE, removed: KEYS_REMOVED, changed: LIMITS_CHANGED },
  team: { added: NONE, removed: KEYS_REMOVED, changed: LIMITS_CHANGED },
  caller: { added: NONE, removed: KEYS_REMOVED, changed: LIMITS_CHANGED },
  deployment: {
    added: NONE,
    removed:
      "running requests end with an error at their deadline, even where the response is ready; remove it once it has none",
    changed:
      "running requests end where they run; removed backends and groups finish them first; callers, ranks and sites count from the next arrival",
  },
  rank: { added: NONE, removed: RANK_CHANGED, changed: RANK_CHANGED },
  policy: { added: NONE, removed: POLICY_CHANGED, changed: POLICY_CHANGED },
};

function listParts(config: Config): Parts<PartType> {
  const parts: Parts<PartType> = new Map();
  for (const [owner, { teams, ...fields }] of Object.entries(config.owners)) {
    parts.set(`owner ${owner}`, { type: "owner", fields });
    for (const [team, { callers, ...fields }] of Object.entries(teams)) {
      parts.set(`team ${owner}/${team}`, { type: "team", fields });
      for (const [caller, fields] of Object.entries(callers)) {
        const name = `caller ${owner}/${team}/${caller}`;
        parts.set(name, { type: "caller", fields });
      }
    }
  }
  for (const [name, fields] of Object.entries(config.deployments)) {
    // A deployment of another kind replaces the one before, so both are parts of their own.
    const part = `deployment ${name} (${fields.kind})`;
    parts.set(part, { type: "deployment", fields });
  }
  for (const [rank, fields] of Object.entries(config.ranks)) {
    parts.set(`rank ${rank}`, { type: "rank", fields });
  }
  parts.set("policy", { type: "policy", fields: config.policy });
  return parts;
}

/** Lists what differs between two resolved configurations of a site, or of the base where no site is given. */
export function compareConfig(
  inForce: Config,
  config: Config,
  { site }: { site: string | undefined },
): PartChange[] {
  return compareParts(listParts(inForce), listParts(config), {
    effects: IN_FLIGHT,
    site,
  });
}
