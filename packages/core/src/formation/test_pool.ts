/**
 * Simulated runners that carry out the orders of a group planner as engines do.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import { type Gate, MODELS, TICK_MS } from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import type { RunnerOrder, RunnerReport } from "./types.ts";

/** Simulated runners that carry out orders. */
export interface Pool {
  runners: Map<string, Runner>;
  /** Reports of the runners' work in response to health checks. */
  reports: Map<string, RunnerReport>;
  /** Highest fencing number that each runner has seen. */
  fences: Map<string, number>;
  /** Times at which weight loads began, ms. */
  loads: number[];
  /** Orders whose response is lost; they are carried out by `release`. */
  held: { runner: string; fence: number; order: RunnerOrder }[];
  /** True while orders are delayed. */
  isHolding: boolean;
  /** Descriptions of forbidden orders that a runner carried out. */
  faults: string[];
  /** Stops a runner for good. */
  kill(id: string, options?: { isListed: boolean }): void;
  /** Lists a new runner. */
  add(runner: Runner): void;
  /** Changes what a runner reports of itself. */
  change(id: string, change: Partial<Runner>): void;
  /** Advances time: carries out orders, renews leadership and responds to health checks. */
  run(ms: number): void;
  /** Carries out the delayed orders. */
  release(): void;
}

interface Change {
  at: number;
  apply(): void;
}

/** Options of {@link createPool}. */
export interface PoolOptions {
  runners: Runner[];
  /** Returns false where this daemon is not the leader of the group planner. */
  holdsDuty?: () => boolean;
  loadMs?: number;
}

const JOIN_MS = 200;
const REPEAT_MS = 100;

/** Creates simulated runners that carry out the orders of a gateway. */
export function createPool(
  gate: Gate,
  { runners: list, holdsDuty = () => true, loadMs = 1_000 }: PoolOptions,
): Pool {
  const runners = new Map(list.map((runner) => [runner.id, runner]));
  const dead = new Set<string>();
  const changes: Change[] = [];
  const reports = new Map<string, RunnerReport>();
  let term = 0;
  const pool: Pool = {
    runners,
    reports,
    fences: new Map(),
    loads: [],
    held: [],
    isHolding: false,
    faults: [],
    kill(id, { isListed } = { isListed: true }) {
      dead.add(id);
      if (!isListed) unlist(id);
    },
    add(runner) {
      runners.set(runner.id, runner);
      update(runner.id, {});
    },
    change: update,
    run,
    release() {
      for (const { runner, fence, order } of pool.held.splice(0)) {
        carryOut(runner, fence, order);
      }
    },
  };

  function unlist(id: string): void {
    runners.delete(id);
    const sentAt = gate.state.now;
    gate.feed({
      kind: "runners_read",
      runners: [],
      gone: [id],
      isWhole: false,
      provedAt: sentAt,
    });
  }

  function update(id: string, change: Partial<Runner>): void {
    const runner = runners.get(id);
    if (runner === undefined || dead.has(id)) return;
    const next = { ...runner, ...change };
    runners.set(id, next);
    const sentAt = gate.state.now;
    gate.feed({
      kind: "runners_read",
      runners: [next],
      gone: [],
      isWhole: false,
      provedAt: sentAt,
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
    pool.faults.push(`${runner.id} left open ${membership.group} for ${group}`);
  }

  function checkOpen(head: Runner, group: string, epoch: number): void {
    const members = [...runners.values()].filter(({ membership }) =>
      membership?.group === group && membership.epoch === epoch &&
      membership.state === "ready"
    );
    const size = MODELS.find(({ name }) => group.startsWith(`${name}:`))!.size;
    if (members.length === size) return;
    pool.faults.push(`${head.id} opened ${group} with ${members.length}`);
  }

  function carryOut(
    id: string,
    fence: number,
    order: RunnerOrder,
  ): "accepted" | "fenced" | "mismatched" {
    const runner = runners.get(id)!;
    if (fence < (pool.fences.get(id) ?? 0)) return "fenced";
    pool.fences.set(id, fence);
    const { now } = gate.state;
    if (order.action === "stage") {
      pool.loads.push(now);
      const apply = () => update(id, { staged: [order.model] });
      changes.push({ at: now + loadMs, apply });
      return "accepted";
    }
    const { group, epoch } = order;
    if (order.action === "join") {
      checkJoin(runner, group);
      const rank = order.members.indexOf(id);
      const place = { group, epoch, rank };
      update(id, { membership: { ...place, state: "joining" } });
      changes.push({
        at: now + JOIN_MS,
        apply() {
          const current = runners.get(id)?.membership;
          if (current?.group !== group || current.epoch !== epoch) return;
          update(id, {
            model: order.model,
            membership: { ...place, state: "ready" },
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
    if (order.action === "open") {
      checkOpen(runner, group, epoch);
      update(id, { membership: { ...membership, state: "open" } });
    }
    return "accepted";
  }

  function answer(effect: Effect): void {
    if (effect.kind === "begin_term") {
      term += 1;
      gate.feed({ kind: "term_begun", term });
    }
    if (effect.kind === "probe_runner") {
      const { runner } = effect;
      const alive = !dead.has(runner);
      const report = alive ? reports.get(runner) : undefined;
      gate.feed({ kind: "runner_probed", runner, alive, report });
    }
    if (effect.kind !== "order_runner") return;
    const { runner, fence, order } = effect;
    if (pool.isHolding || dead.has(runner)) {
      if (!dead.has(runner)) pool.held.push({ runner, fence, order });
      gate.feed({ kind: "order_settled", runner, fence, outcome: "unknown" });
      return;
    }
    const outcome = carryOut(runner, fence, order);
    gate.feed({ kind: "order_settled", runner, fence, outcome });
  }

  function run(ms: number): void {
    for (const end = gate.state.now + ms; gate.state.now < end;) {
      const sentAt = gate.state.now;
      if (Math.round(sentAt / TICK_MS) % (REPEAT_MS / TICK_MS) === 0) {
        gate.feed({ kind: "duty_renewed", held: holdsDuty(), sentAt });
        gate.feed({
          kind: "belief_confirmed",
          what: "routing",
          provedAt: sentAt,
        });
      }
      const from = gate.effects.length;
      gate.pass(TICK_MS);
      for (let index = from; index < gate.effects.length; index += 1) {
        answer(gate.effects[index]!);
      }
      const due = changes.filter(({ at }) => at <= gate.state.now);
      for (const change of due) {
        changes.splice(changes.indexOf(change), 1);
        change.apply();
      }
    }
  }
  return pool;
}

/** Returns the names of the open groups. */
export function openGroups({ runners }: Pool): string[] {
  return [...runners.values()].flatMap(({ membership }) =>
    membership?.state === "open" ? [membership.group] : []
  );
}
