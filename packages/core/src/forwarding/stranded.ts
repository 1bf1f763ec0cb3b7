/**
 * Tells whether a daemon can serve no caller: it has lost its path to all services, and no other daemon forwards.
 *
 * @module
 */
import { hasCandidates } from "../gateway/runner_index.ts";
import type { Gateway } from "../gateway/types.ts";
import { isPathLostFor } from "../service_path/mod.ts";
import type { State } from "../state/types.ts";
import { STRANDED_AFTER_MS } from "./constants.ts";

function hasUsableForwarder({ forwarding, readSharing }: Gateway, now: number) {
  for (const { node, forwardKey } of readSharing.daemons?.values() ?? []) {
    if (forwardKey === undefined) continue;
    const avoidUntil = forwarding.forwarders.get(node)?.avoidUntil;
    if (avoidUntil === undefined || avoidUntil <= now) return true;
  }
  return false;
}

/** Returns whether callers are served better by any other daemon than by this one. */
export function isStranded(state: State): boolean {
  const { gateway, now } = state;
  const { servicePaths, routing } = gateway!;
  if (servicePaths.size === 0) return false;
  const services = [...routing?.services.keys() ?? []].filter((service) =>
    hasCandidates(gateway!, { service, model: undefined })
  );
  const isLost = (service: string) =>
    isPathLostFor(state, service, { ms: STRANDED_AFTER_MS });
  return services.length > 0 && services.every(isLost) &&
    !hasUsableForwarder(gateway!, now);
}
