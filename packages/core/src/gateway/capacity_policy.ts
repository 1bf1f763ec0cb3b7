/**
 * Decides how the capacity of each service is shared, from what the configuration says of it.
 *
 * @module
 */
import type { CapacityPolicy, Gateway, RoutingDocument } from "./types.ts";

/**
 * Returns the capacity policy of each service.
 *
 * It is `shared` for model engines that start cold, and for those that streams of equal priority compete for; priorities
 * alone decide who is served at all other services.
 */
export function capacityPoliciesOf(
  document: RoutingDocument,
): Map<string, CapacityPolicy> {
  return new Map(
    document.services.map(({ name, engine, coldStart }) => {
      const isShared = engine !== undefined &&
        (coldStart !== undefined || hasCompetingStreams(document, name));
      return [name, isShared ? "shared" : "local"];
    }),
  );
}

/** Returns whether two streaming routes of equal priority lead to a service. */
function hasCompetingStreams(
  { routes }: RoutingDocument,
  service: string,
): boolean {
  const priorities = routes
    .filter(({ kind, backends }) =>
      (kind === "stream" || kind === "resumable_stream") &&
      backends.some((backend) => backend.service === service)
    )
    .map(({ priority }) => priority);
  return new Set(priorities).size < priorities.length;
}

/** Returns whether the capacity of the service of a request or runner is shared. */
export function isShared(
  gateway: Gateway,
  { service }: { service: string },
): boolean {
  return capacityPolicyOf(gateway, service) === "shared";
}

/** Returns the capacity policy of a service; `local` where no configuration is in force. */
export function capacityPolicyOf(
  { routing, settings }: Gateway,
  service: string,
): CapacityPolicy {
  if (settings.isCapacityShared === false) return "local";
  return routing?.capacityPolicies.get(service) ?? "local";
}
