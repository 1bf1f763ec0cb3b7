/**
 * Compares the routing configuration of the gateway with the one in force, by meaning.
 *
 * @module
 */
import type { RoutingDocument } from "../gateway/fleet_types.ts";
import { compareParts, type InFlightEffects, type Parts } from "./changes.ts";
import type { PartChange } from "./types.ts";

type PartType = "route" | "service" | "team" | "limits";

const NONE = "none";
const ROUTE_CHANGED =
  "requests in flight keep the route with which they arrived";
const SERVICE_CHANGED =
  "requests in flight go on at their runners; limits count from the next send";
const LIMITS_CHANGED = "count for what arrives from then on";
const TEAM_CHANGED =
  "requests in flight keep their priority; keys count from the next arrival";
const KEYS_REMOVED =
  "requests in flight go on; its keys are refused from then on";

const IN_FLIGHT: InFlightEffects<PartType> = {
  route: { added: NONE, removed: ROUTE_CHANGED, changed: ROUTE_CHANGED },
  service: { added: NONE, removed: SERVICE_CHANGED, changed: SERVICE_CHANGED },
  team: { added: NONE, removed: KEYS_REMOVED, changed: TEAM_CHANGED },
  limits: {
    added: NONE,
    removed: LIMITS_CHANGED,
    changed: LIMITS_CHANGED,
  },
};

function listParts(document: RoutingDocument): Parts<PartType> {
  const parts: Parts<PartType> = new Map();
  for (const { name, ...fields } of document.routes) {
    parts.set(`route ${name}`, { type: "route", fields });
  }
  for (const { name, ...fields } of document.services) {
    parts.set(`service ${name}`, { type: "service", fields });
  }
  for (const { name, ...fields } of document.teams ?? []) {
    parts.set(`team ${name}`, { type: "team", fields });
  }
  parts.set("limits", { type: "limits", fields: { ...document.limits } });
  return parts;
}

/** Lists what differs between two routing configurations. */
export function compareRouting(
  inForce: RoutingDocument,
  document: RoutingDocument,
): PartChange[] {
  return compareParts(listParts(inForce), listParts(document), {
    effects: IN_FLIGHT,
    site: undefined,
  });
}
