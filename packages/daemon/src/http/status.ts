/**
 * Computes the short status of a daemon for operators.
 *
 * @module
 */
import { notReadyCause, RANKS, type State } from "@primroseshed/core";

/** Short status of a daemon. */
export interface Status {
  node: string;
  zone: string;
  phase: string;
  ready: boolean;
  configOffset: number | undefined;
  foldNext: number;
  logReachable: boolean;
  pendingAppends: number;
  requests: number;
  peers: {
    name: string;
    zone: string;
    config: number | undefined;
    heardMsAgo: number;
    connected: boolean;
  }[];
  pools: {
    name: string;
    kind: string;
    phases: Record<string, number>;
    waiting: Record<string, number>;
  }[];
  leases: { name: string; phase: string; fence: number | undefined }[];
  /** Availability zones whose engines and backend servers get no requests, by the configuration. */
  evacuatedZones: string[];
  problems: string[];
}

function countPhases(
  state: State,
  names: ReadonlySet<string>,
): Record<string, number> {
  const phases: Record<string, number> = {};
  for (const name of names) {
    const phase = state.targets.get(name)?.phase ?? "gone";
    phases[phase] = (phases[phase] ?? 0) + 1;
  }
  return phases;
}

function listProblems(state: State): string[] {
  const problems: string[] = [];
  const cause = notReadyCause(state);
  if (cause !== undefined) problems.push(`not ready: ${cause}`);
  if (!state.log.reachable) {
    problems.push(
      "log service unreachable: keyed bookings are refused and no groups are planned",
    );
  }
  for (const pool of state.pools.values()) {
    const phases = countPhases(state, pool.targets);
    if (!phases.serving) {
      problems.push(`deployment "${pool.name}" has no serving targets`);
    }
    if (phases.suspect) {
      problems.push(`deployment "${pool.name}": ${phases.suspect} suspect`);
    }
    if (phases.ejected) {
      problems.push(`deployment "${pool.name}": ${phases.ejected} ejected`);
    }
    const wanted = pool.deployment.kind === "model"
      ? pool.deployment.replicas
      : pool.deployment.backends.length;
    if (pool.targets.size < wanted) {
      problems.push(
        `deployment "${pool.name}": ${pool.targets.size} of ${wanted} replicas exist`,
      );
    }
  }
  return problems;
}

/** Creates the short status of a daemon with all its problems. */
export function createStatus(state: State): Status {
  return {
    node: state.node.name,
    zone: state.node.zone,
    phase: state.phase,
    ready: state.ready,
    configOffset: state.config?.offset,
    foldNext: state.fold.next,
    logReachable: state.log.reachable,
    pendingAppends: state.log.pending.size,
    requests: state.requests.size,
    peers: [...state.peers.values()].map((
      { name, zone, digest, lastSeenAt, lostAt },
    ) => ({
      name,
      zone,
      config: digest?.config,
      heardMsAgo: Math.round(state.now - lastSeenAt),
      connected: lostAt === undefined,
    })),
    pools: [...state.pools.values()].map((pool) => ({
      name: pool.name,
      kind: pool.deployment.kind,
      phases: countPhases(state, pool.targets),
      waiting: Object.fromEntries(
        RANKS.map((rank) => [rank, pool.queues[rank].backlog]),
      ),
    })),
    leases: [...state.leases.values()].map(({ name, phase, grant }) => ({
      name,
      phase,
      fence: grant,
    })),
    evacuatedZones: state.config?.config.policy.evacuatedZones ?? [],
    problems: listProblems(state),
  };
}
