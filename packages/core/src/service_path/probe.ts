/**
 * Probes runners while the path to their service is lost, so that its return is noticed without a caller's request.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { candidatesFor } from "../gateway/runner_index.ts";
import type { Gateway, Runner } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { nextFloat } from "../util/random.ts";
import { PROBE_INTERVAL_MS, PROBED_RUNNERS } from "./constants.ts";
import { confirmPath } from "./service_path.ts";

/** Probes a few runners of each service to which the path is lost. */
export function* probeLostPaths(state: State): Effects {
  const gateway = state.gateway!;
  for (const [service, path] of gateway.servicePaths) {
    if (path.lostSince === undefined || state.now < path.nextProbeAt) continue;
    path.nextProbeAt = state.now + PROBE_INTERVAL_MS;
    yield* probeService(state, gateway, service);
  }
}

/** Probes runners of a service chosen at random, since some of them may be down. */
function* probeService(
  { random }: State,
  gateway: Gateway,
  service: string,
): Effects {
  const runners: Runner[] = [
    ...candidatesFor(gateway, { service, model: undefined }),
  ];
  for (let left = PROBED_RUNNERS; left > 0 && runners.length > 0; left -= 1) {
    const index = Math.floor(nextFloat(random) * runners.length);
    const [{ id: runner, address }] = runners.splice(index, 1) as [Runner];
    yield { kind: "probe_path", runner, address };
  }
}

/** Handles the result of a probe. */
export function* recordProbe(
  state: State,
  { runner: id, isReachable }: EventOf<"path_probed">,
): Effects {
  const runner = state.gateway!.runners.get(id);
  if (runner !== undefined && isReachable) yield* confirmPath(state, runner);
}
