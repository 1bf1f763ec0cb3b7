/**
 * What an operator sees of a gateway at a glance.
 *
 * @module
 */
import {
  ageOf,
  type Gateway,
  isGatewayReady,
  isLeader,
  type Runner,
  type State,
} from "@primroseshed/core";

/** Short status of a gateway; the fields that other daemons have too keep their names. */
export interface GatewayStatus {
  node: string;
  zone: string;
  phase: string;
  ready: boolean;
  /** Version of the configuration in force. */
  configOffset: number | undefined;
  /** Age of the last proof that it is current, ms; null where there is none. */
  configAgeMs: number | null;
  /** Age of the list of runners, ms; null where it was never read. */
  runnersAgeMs: number | null;
  logReachable: boolean;
  requests: number;
  /** True while this daemon plans the replica groups. */
  plans: boolean;
  peers: [];
  problems: string[];
}

/** A replica group, or a backend server of a plain service, as a gateway sees it. */
export interface GatewayTarget {
  name: string;
  deployment: string;
  phase: string;
  epoch: number | null;
  /** Requests that it runs at once. */
  limit: number;
  /** Requests of this daemon that are in flight there. */
  inFlight: number;
  members: {
    member: { vm: string; zone: string; domain: string | undefined };
  }[];
}

/** Age of proof beyond which the store counts as out of reach, ms: two reads that wait for a change, and a margin. */
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
    problems.push("store out of reach: keys and routes are proved no longer");
  }
  if (phase === "serving" && !isReady) {
    problems.push("out of the balancer's rotation");
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

/** Creates the short status of a gateway, with everything that is wrong. */
export function createGatewayStatus(state: State, now: number): GatewayStatus {
  const gateway = state.gateway!;
  const configAge = ageOf(gateway.routingBelief, now);
  const isReady = isGatewayReady(state, now);
  const isReachable = configAge < REACHABLE_MS;
  return {
    node: state.node.name,
    zone: state.node.zone,
    phase: state.phase,
    ready: isReady,
    configOffset: gateway.routing?.document.version,
    configAgeMs: ageMsOf(configAge),
    runnersAgeMs: ageMsOf(ageOf(gateway.runnerBelief, now)),
    logReachable: isReachable,
    requests: gateway.deliveries.size,
    plans: isLeader(gateway.groupPlanner.leadership, now),
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

/** Lists replica groups, and runners without a group, as this daemon knows them. */
export function listGatewayTargets({ gateway }: State): GatewayTarget[] {
  const targets = new Map<string, GatewayTarget>();
  const byRank = [...gateway!.runners.values()].sort((left, right) =>
    (left.membership?.rank ?? 0) - (right.membership?.rank ?? 0)
  );
  for (const runner of byRank) {
    const known = targets.get(nameOf(runner));
    if (known !== undefined) {
      known.members.push(memberOf(runner));
      known.inFlight += gateway!.targets.get(runner.id)?.inFlight ?? 0;
      continue;
    }
    targets.set(nameOf(runner), {
      name: nameOf(runner),
      deployment: runner.model ?? runner.service,
      phase: runner.membership?.state ?? runner.state,
      epoch: runner.membership?.epoch ?? null,
      limit: runner.slots,
      inFlight: gateway!.targets.get(runner.id)?.inFlight ?? 0,
      members: [memberOf(runner)],
    });
  }
  return [...targets.values()];
}
