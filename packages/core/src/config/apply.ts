/**
 * Applies a configuration to pools and targets. Offsets in force only increase.
 *
 * @module
 */
import { hashFraction } from "../util/hash.ts";
import { refreshPool } from "../capacity/targets.ts";
import type { ServiceDeployment } from "./types.ts";
import { removeTarget, upsertTarget } from "../health/target_lifecycle.ts";
import type { Effects } from "../reduce_types.ts";
import { createPool } from "../state/create_state.ts";
import type { Pool, State } from "../state/types.ts";
import type { AcceptedConfig } from "../fold/types.ts";
import { formatProblems, resolveConfig } from "./resolve.ts";
import type { Config } from "./types.ts";

/** Applies a document if its offset is higher than that of the configuration in force. */
export function* applyConfig(
  state: State,
  accepted: AcceptedConfig,
): Effects {
  const { offset, document } = accepted;
  if (state.config !== undefined && offset <= state.config.offset) return;
  const resolution = resolveConfig(document, state.node.site);
  if (!resolution.ok) {
    const cause = formatProblems(resolution.problems);
    yield { kind: "log", event: "config_void", fields: { offset, cause } };
    return;
  }
  state.config = { offset, config: resolution.value };
  state.acceptedConfig = accepted;
  yield* reconcilePools(state, resolution.value);
  yield* watchMembers(state);
  yield { kind: "config_in_force", offset };
  yield { kind: "log", event: "config_in_force", fields: { offset } };
}

function* reconcilePools(state: State, config: Config): Effects {
  for (const [name, pool] of state.pools) {
    if (config.deployments[name]?.kind !== pool.deployment.kind) {
      yield* removePool(state, pool);
    }
  }
  for (const [name, deployment] of Object.entries(config.deployments)) {
    const pool = state.pools.get(name) ??
      createPool(name, deployment, { now: state.now });
    state.pools.set(name, pool);
    pool.deployment = deployment;
    if (deployment.kind === "service") {
      yield* reconcileBackends(state, pool, deployment);
    } else yield* reconcileGroups(state, { deployment: name });
    refreshPool(state, pool);
  }
}

function* removePool(state: State, pool: Pool): Effects {
  for (const name of [...pool.targets]) {
    const target = state.targets.get(name);
    if (target !== undefined) yield* removeTarget(state, target);
  }
  state.pools.delete(pool.name);
}

function* reconcileBackends(
  state: State,
  pool: Pool,
  deployment: ServiceDeployment,
): Effects {
  const wanted = new Map(
    deployment.backends.map((
      backend,
    ) => [`${pool.name}/${backend.vm}`, backend]),
  );
  for (const name of [...pool.targets]) {
    const target = state.targets.get(name);
    if (target !== undefined && !wanted.has(name)) {
      yield* removeTarget(state, target);
    }
  }
  for (const [name, { vm, address, zone }] of wanted) {
    const members = [{ vm, address, zone, domain: "" }];
    yield* upsertTarget(state, {
      name,
      deployment: pool.name,
      epoch: undefined,
      members,
    });
  }
}

// If there are more groups than one entry watches, each entry watches a subset, chosen by hash so that adding or
// removing a group changes few other choices.
function isWatched(state: State, group: string, total: number): boolean {
  const max = state.config?.config.policy.watchedTargets ?? total;
  return total <= max ||
    hashFraction(`${state.node.name}/${group}`) < max / total;
}

/** Reconciles the targets of a model deployment with the groups folded from the log. */
export function* reconcileGroups(
  state: State,
  { deployment }: { deployment: string },
): Effects {
  const pool = state.pools.get(deployment);
  if (pool === undefined) return;
  for (const name of [...pool.targets]) {
    const target = state.targets.get(name);
    const phase = state.fold.groups.get(name)?.phase;
    if (target !== undefined && phase !== "formed") {
      yield* removeTarget(state, target);
    }
  }
  const formed = [...state.fold.groups.values()].filter((group) =>
    group.deployment === deployment && group.phase === "formed"
  );
  for (const group of formed) {
    if (isWatched(state, group.name, formed.length)) {
      yield* upsertTarget(state, group);
    }
  }
}

/** Sets the VMs whose status the driver polls. */
export function* watchMembers(state: State): Effects {
  const members = [...state.targets.values()].flatMap((target) =>
    target.members.map(({ member: { vm, address } }) => ({ vm, address }))
  );
  yield { kind: "watch", members };
}
