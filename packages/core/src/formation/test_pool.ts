/**
 * Simulated runners that carry out the orders of a group planner as engines do.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import { type GatewayHarness, TICK_MS } from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import type { RunnerOrder, RunnerReport } from "./types.ts";

/** Simulated runners that carry out orders. */
export interface SimulatedPool {
  runners: Map<string, Runner>;
  /** Reports of the runners' work in response to health checks. */
  reports: Map<string, RunnerReport>;
  /** Highest fencing number that each runner has seen. */
  fences: Map<string, number>;
  /** Times at which weight loads began, ms. */
  weightLoads: number[];
  /** Orders whose response is lost; they are carried out by `releaseOrders`. */
  delayedOrders: { runner: string; fence: number; order: RunnerOrder }[];
  /** True while orders are delayed. */
  delaysOrders: boolean;
  /** Returns true while orders to one runner are delayed. */
  delaysOrdersTo(id: string): boolean;
  /** Descriptions of forbidden orders that a runner carried out. */
  violations: string[];
  /** Stops a runner for good. */
  kill(id: string, options?: { isListed: boolean }): void;
  /** Takes a runner off the list that goes on working, as one that is cut off from the store. */
  unlist(id: string): void;
  /** Lets a runner go on that fell silent, with what it held. */
  revive(id: string): void;
  /** Lists a new runner. */
  add(runner: Runner): void;
  /** Changes what a runner reports of itself. */
  change(id: string, change: Partial<Runner>): void;
  /** Advances time: carries out orders, renews leadership and responds to health checks. */
  run(ms: number): void;
  /** Carries out the delayed orders. */
  releaseOrders(): void;
}

interface Change {
  at: number;
  apply(): void;
}

/** Options of {@link createSimulatedPool}. */
export interface SimulatedPoolOptions {
  runners: Runner[];
  /** Returns false where this daemon is not the leader of the group planner. */
  isLeader?: () => boolean;
  /** Time that a weight load takes, ms. */
  loadMs?: number | ((model: string) => number);
  /** Time that a join takes where the host holds the weights, ms. */
  joinMs?: number;
}

const JOIN_MS = 200;
const RENEW_INTERVAL_MS = 100;

/** Creates simulated runners that carry out the orders of a gateway. */
export function createSimulatedPool(
  harness: GatewayHarness,
  { runners: list, isLeader = () => true, loadMs = 1_000, joinMs = JOIN_MS }:
    SimulatedPoolOptions,
): SimulatedPool {
  const loadMsOf = (model: string) =>
    typeof loadMs === "number" ? loadMs : loadMs(model);
  const runners = new Map(list.map((runner) => [runner.id, runner]));
  const dead = new Set<string>();
  const unlisted = new Set<string>();
  const changes: Change[] = [];
  const reports = new Map<string, RunnerReport>();
  let term = 0;
  const pool: SimulatedPool = {
    runners,
    reports,
    fences: new Map(),
    weightLoads: [],
    delayedOrders: [],
    delaysOrders: false,
    delaysOrdersTo: () => false,
    violations: [],
    kill(id, { isListed } = { isListed: true }) {
      dead.add(id);
      if (!isListed) removeFromList(id);
    },
    unlist(id) {
      unlisted.add(id);
      feedRemoval(id);
    },
    revive(id) {
      dead.delete(id);
      update(id, {});
    },
    add(runner) {
      runners.set(runner.id, runner);
      update(runner.id, {});
    },
    change: update,
    run,
    releaseOrders() {
      for (const { runner, fence, order } of pool.delayedOrders.splice(0)) {
        executeOrder(runner, fence, order);
      }
    },
  };

  function removeFromList(id: string): void {
    runners.delete(id);
    feedRemoval(id);
  }

  function feedRemoval(id: string): void {
    const sentAt = harness.state.now;
    harness.feed({
      kind: "runners_read",
      runners: [],
      removedIds: [id],
      isWhole: false,
      position: { timeline: 1, offset: 0 },
      confirmedAt: sentAt,
    });
  }

  function update(id: string, change: Partial<Runner>): void {
    const runner = runners.get(id);
    if (runner === undefined || dead.has(id)) return;
    const next = { ...runner, ...change };
    runners.set(id, next);
    if (unlisted.has(id)) return;
    const sentAt = harness.state.now;
    harness.feed({
      kind: "runners_read",
      runners: [next],
      removedIds: [],
      isWhole: false,
      position: { timeline: 1, offset: 0 },
      confirmedAt: sentAt,
    });
  }

  function headOf({ membership }: Runner): Runner | undefined {
    return [...runners.values()].find((each) =>
      each.membership?.group === membership?.group &&
      each.membership?.rank === 0
    );
  }

  function checkJoin(runner: Runner, group: string): void {
    const { membership } = runner;
    if (membership === undefined || membership.group === group) return;
    const head = headOf(runner);
    if (head === undefined || dead.has(head.id)) return;
    if (head.membership?.state !== "open") return;
    pool.violations.push(
      `${runner.id} left open ${membership.group} for ${group}`,
    );
  }

  function sizeOf({ service, model }: Runner): number {
    const { engine } = harness.state.gateway!.routing!.services.get(service)!;
    return engine!.models.find(({ name }) => name === model)!.size;
  }

  function checkOpen(head: Runner, group: string, epoch: number): void {
    const members = [...runners.values()].filter(({ membership }) =>
      membership?.group === group && membership.epoch === epoch &&
      membership.state === "ready"
    );
    const size = sizeOf(head);
    if (members.length === size) return;
    pool.violations.push(`${head.id} opened ${group} with ${members.length}`);
  }

  function executeOrder(
    id: string,
    fence: number,
    order: RunnerOrder,
  ): "accepted" | "fenced" | "mismatched" {
    const runner = runners.get(id)!;
    if (fence < (pool.fences.get(id) ?? 0)) return "fenced";
    pool.fences.set(id, fence);
    const { now } = harness.state;
    if (order.action === "stage") {
      pool.weightLoads.push(now);
      const apply = () => update(id, { staged: [order.model] });
      changes.push({ at: now + loadMsOf(order.model), apply });
      return "accepted";
    }
    const { group, epoch } = order;
    if (order.action === "join") {
      checkJoin(runner, group);
      const rank = order.members.indexOf(id);
      const assigned = { group, epoch, rank };
      update(id, { membership: { ...assigned, state: "joining" } });
      changes.push({
        at: now + joinMs,
        apply() {
          const current = runners.get(id)?.membership;
          if (current?.group !== group || current.epoch !== epoch) return;
          update(id, {
            model: order.model,
            membership: { ...assigned, state: "ready" },
          });
        },
      });
      return "accepted";
    }
    const { membership } = runner;
    if (membership?.group !== group || membership.epoch !== epoch) {
      return "mismatched";
    }
    if (order.action === "leave") update(id, { membership: undefined });
    if (order.action === "close") {
      update(id, { membership: { ...membership, state: "ready" } });
    }
    // An order that is carried out once more finds the group open already.
    if (order.action === "open" && membership.state !== "open") {
      checkOpen(runner, group, epoch);
      update(id, { membership: { ...membership, state: "open" } });
    }
    return "accepted";
  }

  function handleEffect(effect: Effect): void {
    if (effect.kind === "begin_term") {
      term += 1;
      harness.feed({ kind: "term_begun", term });
    }
    if (effect.kind === "check_runner") {
      const { runner } = effect;
      const status = dead.has(runner) ? "silent" : "alive";
      const report = status === "alive" ? reports.get(runner) : undefined;
      harness.feed({ kind: "runner_checked", runner, status, report });
    }
    if (effect.kind !== "order_runner") return;
    const { runner, fence, order } = effect;
    const isDelayed = pool.delaysOrders || pool.delaysOrdersTo(runner);
    if (isDelayed || dead.has(runner)) {
      if (!dead.has(runner)) pool.delayedOrders.push({ runner, fence, order });
      harness.feed({
        kind: "order_completed",
        runner,
        fence,
        outcome: "unknown",
      });
      return;
    }
    const outcome = executeOrder(runner, fence, order);
    harness.feed({ kind: "order_completed", runner, fence, outcome });
  }

  function run(ms: number): void {
    for (const end = harness.state.now + ms; harness.state.now < end;) {
      const sentAt = harness.state.now;
      if (Math.round(sentAt / TICK_MS) % (RENEW_INTERVAL_MS / TICK_MS) === 0) {
        harness.feed({
          kind: "leadership_renewed",
          isGranted: isLeader(),
          sentAt,
        });
        harness.feed({
          kind: "freshness_confirmed",
          topic: "routing",
          confirmedAt: sentAt,
        });
      }
      const from = harness.effects.length;
      harness.advance(TICK_MS);
      for (let index = from; index < harness.effects.length; index += 1) {
        handleEffect(harness.effects[index]!);
      }
      const due = changes.filter(({ at }) => at <= harness.state.now);
      for (const change of due) {
        changes.splice(changes.indexOf(change), 1);
        change.apply();
      }
    }
  }
  return pool;
}

/** Returns the names of the open groups. */
export function openGroups({ runners }: SimulatedPool): string[] {
  return [...runners.values()].flatMap(({ membership }) =>
    membership?.state === "open" ? [membership.group] : []
  );
}
