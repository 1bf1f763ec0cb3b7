/**
 * Indexes the priorities and objectives of the routes that lead to each service.
 *
 * @module
 */
import type { RoutingDocument, ServiceLevels } from "./types.ts";

/** Returns what the routes of a configuration ask of each service. */
export function serviceLevelsOf(
  { routes, services, teams = [] }: RoutingDocument,
): Map<string, ServiceLevels> {
  const teamPriorities = teams.flatMap(({ priority }) => priority ?? []);
  return new Map(
    services.map(({ name }) => {
      const own = routes.filter(({ backends }) =>
        backends.some(({ service }) => service === name)
      );
      const priorities = [
        ...own.map(({ priority }) => priority),
        ...teamPriorities,
      ];
      return [name, {
        priorities: [...new Set(priorities)].sort((a, b) => a - b),
        maxObjectiveMs: Math.max(
          1,
          ...own.map(({ targetLatencyMs }) => targetLatencyMs),
        ),
        routes: new Set(own.map(({ name: route }) => route)),
      }];
    }),
  );
}

const NO_LEVELS: ServiceLevels = {
  priorities: [],
  maxObjectiveMs: 1,
  routes: new Set(),
};

/** Returns what the routes in force ask of a service. */
export function levelsOfService(
  { routing }: {
    routing: { serviceLevels: Map<string, ServiceLevels> } | undefined;
  },
  service: string,
): ServiceLevels {
  return routing?.serviceLevels.get(service) ?? NO_LEVELS;
}

/** Returns how many priorities of a service are more urgent than this one. */
export function urgencyStepOf(
  { priorities }: ServiceLevels,
  priority: number,
): number {
  return priorities.filter((value) => value < priority).length;
}
