/**
 * Indexes the routing configuration, finds the route of a request and picks its service.
 *
 * @module
 */
import { nextFloat, type Random } from "../util/random.ts";
import { capacityPoliciesOf } from "./capacity_policy.ts";
import { serviceLevelsOf } from "./service_levels.ts";
import type {
  Route,
  RoutingDocument,
  RoutingTable,
  Service,
  Team,
} from "./types.ts";

/** Creates the look-up tables of a configuration. */
export function createRoutingTable(document: RoutingDocument): RoutingTable {
  const byHost = new Map<string, Route[]>();
  for (const route of document.routes) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((left, right) => right.prefix.length - left.prefix.length);
  }
  const teamByKey = new Map<string, Team>();
  for (const team of document.teams ?? []) {
    for (const key of team.keys) teamByKey.set(key, team);
  }
  const services = new Map<string, Service>(
    document.services.map((service) => [service.name, service]),
  );
  const capacityPolicies = capacityPoliciesOf(document);
  const serviceLevels = serviceLevelsOf(document);
  return {
    document,
    byHost,
    services,
    capacityPolicies,
    serviceLevels,
    teamByKey,
  };
}

/**
 * Finds the route of a host with the longest prefix that the path starts with.
 *
 * @example
 * ```ts
 * findRoute(table, "a.example", { path: "/loans/7" })?.prefix; // "/loans/"
 * ```
 */
export function findRoute(
  table: RoutingTable,
  host: string,
  { path }: { path: string },
): Route | undefined {
  const name = host.replace(/:\d+$/, "").toLowerCase();
  const end = path.search(/[?#]/);
  const pathname = end < 0 ? path : path.slice(0, end);
  return table.byHost.get(name)?.find(({ prefix }) =>
    pathname.startsWith(prefix)
  );
}

/** Picks one of a route's services at random by weight. */
export function pickService(route: Route, random: Random): string | undefined {
  const total = route.backends.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = nextFloat(random) * total;
  for (const { service, weight } of route.backends) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.backends.at(-1)?.service;
}

/** True where a request of the route may run more than once. */
export function canRepeat({ kind }: Route): boolean {
  return kind === "idempotent" || kind === "resumable_stream";
}

/** True where a route's responses are streams of events. */
export function isStream({ kind }: Route): boolean {
  return kind === "stream" || kind === "resumable_stream";
}
