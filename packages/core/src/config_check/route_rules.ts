/**
 * Rules for the routes of a routing configuration.
 *
 * @module
 */
import type { RoutingDocument } from "../gateway/fleet_types.ts";
import { canRepeat } from "../gateway/routes.ts";
import type { RuleFinding } from "./types.ts";

/** What is known beside the routing configuration. */
export interface RegionContext {
  /** Regions by availability zone. */
  regions: Readonly<Record<string, string>>;
}

/** Lists routes that never match: the first one of a host and prefix receives all requests. */
export function* findShadowedRoutes(
  { routes }: RoutingDocument,
): Iterable<RuleFinding> {
  const first = new Map<string, string>();
  for (const { name, host, prefix } of routes) {
    const key = JSON.stringify([host, prefix]);
    const other = first.get(key);
    if (other === undefined) {
      first.set(key, name);
      continue;
    }
    yield {
      severity: "error",
      rule: "shadowed_route",
      path: ["routes", name],
      message:
        `route "${other}" has the same host and prefix and receives all requests; change one of them or remove this route`,
    };
  }
}

/** Lists routes whose backends cannot be used as they are written. */
export function* findBrokenBackends(
  { routes, services }: RoutingDocument,
): Iterable<RuleFinding> {
  const known = new Set(services.map(({ name }) => name));
  for (const { name, backends } of routes) {
    const path = ["routes", name, "backends"];
    if (backends.length === 0) {
      yield {
        severity: "error",
        rule: "route_without_service",
        path,
        message: "names no service; add one or remove the route",
      };
      continue;
    }
    for (const { service } of backends) {
      if (known.has(service)) continue;
      yield {
        severity: "error",
        rule: "unknown_service",
        path,
        message:
          `no service is named "${service}"; correct the name or add the service`,
      };
    }
    if (backends.some(({ weight }) => weight > 0)) continue;
    yield {
      severity: "warning",
      rule: "no_weight",
      path,
      message: `no weight is above 0, so "${
        backends.at(-1)?.service
      }" receives all requests; set the weights`,
    };
  }
}

/** Lists routes whose time limit or number of attempts contradicts their other fields. */
export function* findContradictingRoutes(
  { routes }: RoutingDocument,
): Iterable<RuleFinding> {
  for (const route of routes) {
    const { name, timeoutMs, targetLatencyMs, maxAttempts } = route;
    if (timeoutMs < targetLatencyMs) {
      yield {
        severity: "warning",
        rule: "timeout_below_objective",
        path: ["routes", name, "timeoutMs"],
        message:
          `${timeoutMs} ms are below the latency objective of ${targetLatencyMs} ms; raise the time limit or lower the objective`,
      };
    }
    if (maxAttempts <= 1 || canRepeat(route)) continue;
    yield {
      severity: "warning",
      rule: "attempts_without_repeat",
      path: ["routes", name, "maxAttempts"],
      message:
        `${maxAttempts} attempts, but requests of kind "${route.kind}" may not be repeated once a runner may have run them; set it to 1, or change the kind if they may`,
    };
  }
}

/** Lists routes and teams whose allowed regions no known availability zone has. */
export function* findUnknownRegions(
  { routes, teams }: RoutingDocument,
  { regions }: RegionContext,
): Iterable<RuleFinding> {
  const known = new Set(Object.values(regions));
  const holders = [
    ...routes.map((route) => ({ type: "routes", ...route })),
    ...(teams ?? []).map((team) => ({ type: "teams", ...team })),
  ];
  for (const { type, name, allowedRegions = [] } of holders) {
    const unknown = allowedRegions.filter((region) => !known.has(region));
    if (unknown.length === 0) continue;
    const isUnusable = unknown.length === allowedRegions.length;
    const effect = isUnusable ? ", so no runner may serve its requests" : "";
    yield {
      severity: isUnusable ? "error" : "warning",
      rule: "unknown_region",
      path: [type, name, "allowedRegions"],
      message: `no known availability zone is in ${
        unknown.map((region) => `"${region}"`).join(", ")
      }${effect}; correct the names, or add the zones to the regions in the settings`,
    };
  }
}

/** Lists the contradiction between hedged requests and routes of which none may be repeated. */
export function* findUselessHedging(
  { routes }: RoutingDocument,
  { isHedging }: { isHedging: boolean },
): Iterable<RuleFinding> {
  if (!isHedging || routes.length === 0 || routes.some(canRepeat)) return;
  yield {
    severity: "warning",
    rule: "hedging_without_repeat",
    path: ["routes"],
    message:
      "hedged requests are on, but requests of no route may be repeated; turn them off or change the kinds",
  };
}
