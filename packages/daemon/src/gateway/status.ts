/**
 * Computes the short status of a gateway and its list of targets for operators.
 *
 * @module
 */
import {
  ageOf,
  type Gateway,
  isGatewayReady,
  isLeader,
  isStoreReader,
  listEvacuatedZones,
  type Runner,
  type State,
} from "@primroseshed/core";

/** Short status of a gateway; fields that other daemons also have carry the same names. */
export interface GatewayStatus {
  node: string;
  zone: string;
  phase: string;
  ready: boolean;
  /** Version of the configuration in force. */
  configOffset: number | undefined;
  /** Time since the configuration was last confirmed as current, ms; null if it never was. */
  configAgeMs: number | null;
  /** Time since the list of runners was last confirmed as current, ms; null if it was never read. */
  runnersAgeMs: number | null;
  logReachable: boolean;
  requests: number;
  /** True while this daemon plans the replica groups. */
  plans: boolean;
  /** True while this daemon reads the store itself, with success. */
  readsStore: boolean;
  /** Daemon that it takes the store's data from; null where there is none. */
  upstream: string | null;
  /** Availability zones whose runners get no requests, by order of an operator. */
  evacuatedZones: string[];
  peers: [];
  problems: string[];
}

/** A replica group, or a backend server of a plain service, in the view of this gateway. */
export interface GatewayTarget {
  name: string;
  deployment: string;
  phase: string;
  epoch: number | null;
  /** Largest number of requests that it runs concurrently. */
  limit: number;
  /** Number of requests of this daemon that are in flight there. */
  inFlight: number;
  members: {
    member: { vm: string; zone: string; domain: string | undefined };
  }[];
}

/** Age of the last confirmation beyond which the store counts as unreachable, ms: two waiting reads and a margin. */
const REACHABLE_MS = 3_000;

function ageMsOf(age: number): number | null {
  return Number.isFinite(age) ? Math.round(age) : null;
}

function listProblems(
  { gateway, phase }: State,
  { isReady, isReachable }: { isReady: boolean; isReachable: boolean },
): string[] {
  const problems: string[] = [];
  if (phase !== "serving") problems.push(`phase is ${phase}`);
  if (!isReachable) {
    problems.push("store unreachable: keys and routes may be out of date");
  }
  if (phase === "serving" && !isReady) {
    problems.push("not ready: the load balancer sends no connections here");
  }
  for (const { name, engine } of gateway?.routing?.services.values() ?? []) {
    for (const model of engine?.models ?? []) {
      if (!hasOpenGroup(gateway!, { service: name, model: model.name })) {
        problems.push(`model "${model.name}" has no open group`);
      }
    }
  }
  return problems;
}

function hasOpenGroup(
  { runners }: Gateway,
  { service, model }: { service: string; model: string },
): boolean {
  return [...runners.values()].some((runner) =>
    runner.service === service && runner.model === model &&
    runner.membership?.state === "open"
  );
}

/** Creates the short status of a gateway with all its problems. */
export function createGatewayStatus(state: State, now: number): GatewayStatus {
  const gateway = state.gateway!;
  const configAge = ageOf(gateway.routingFreshness, now);
  const isReady = isGatewayReady(state, now);
  const isReachable = configAge < REACHABLE_MS;
  return {
    node: state.node.name,
    zone: state.node.zone,
    phase: state.phase,
    ready: isReady,
    configOffset: gateway.routing?.document.version,
    configAgeMs: ageMsOf(configAge),
    runnersAgeMs: ageMsOf(ageOf(gateway.runnersFreshness, now)),
    logReachable: isReachable,
    requests: gateway.requests.size,
    plans: isLeader(gateway.groupPlanner.leadership, now),
    readsStore: isStoreReader(state),
    upstream: gateway.readSharing.upstream?.node ?? null,
    evacuatedZones: listEvacuatedZones(gateway),
    peers: [],
    problems: listProblems(state, { isReady, isReachable }),
  };
}

function memberOf({ id, zone, domain }: Runner) {
  return { member: { vm: id, zone, domain } };
}

function nameOf({ id, membership }: Runner): string {
  return membership?.group ?? id;
}

/** Lists the replica groups, and the runners without a group, that this daemon knows. */
export function listGatewayTargets({ gateway }: State): GatewayTarget[] {
  const targets = new Map<string, GatewayTarget>();
  const byRank = [...gateway!.runners.values()].sort((left, right) =>
    (left.membership?.rank ?? 0) - (right.membership?.rank ?? 0)
  );
  for (const runner of byRank) {
    const known = targets.get(nameOf(runner));
    if (known !== undefined) {
      known.members.push(memberOf(runner));
      known.inFlight += gateway!.runnerStats.get(runner.id)?.inFlight ?? 0;
      continue;
    }
    targets.set(nameOf(runner), {
      name: nameOf(runner),
      deployment: runner.model ?? runner.service,
      phase: runner.membership?.state ?? runner.state,
      epoch: runner.membership?.epoch ?? null,
      limit: runner.slots,
      inFlight: gateway!.runnerStats.get(runner.id)?.inFlight ?? 0,
      members: [memberOf(runner)],
    });
  }
  return [...targets.values()];
}
