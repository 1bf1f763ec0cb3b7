/**
 * Benches of the group planner: random fault schedules, and the replacement of a single dead VM.
 *
 * @module
 */
import type { Bench } from "../figure.ts";
import {
  createGroupSimulation,
  type GroupSimulationOptions,
  type GroupViolations,
} from "./simulation.ts";

const SCHEDULES = 1_000;
const RUN_MS = 90_000;
const SHAPE = {
  entries: 3,
  domains: 3,
  vmsPerDomain: 5,
  replicas: 3,
  vmsPerReplica: 2,
  faults: 6,
  runMs: RUN_MS,
};

/**
 * Runs `count` simulations with consecutive seeds from `firstSeed` and sums their violations.
 * Every other simulation has engines that ignore fencing numbers.
 */
export function sumGroupViolations(
  firstSeed: number,
  count: number,
): GroupViolations & { unserved: number } {
  const sum = { inTwoGroups: 0, sentToBroken: 0, staleOrders: 0, unserved: 0 };
  for (let seed = firstSeed; seed < firstSeed + count; seed++) {
    const simulation = createGroupSimulation({
      ...SHAPE,
      seed,
      fencing: seed % 2 === 0 ? "enforced" : "ignored",
    });
    simulation.run(RUN_MS);
    sum.inTwoGroups += simulation.violations.inTwoGroups;
    sum.sentToBroken += simulation.violations.sentToBroken;
    sum.staleOrders += simulation.violations.staleOrders;
    if (simulation.servingGroups() === 0) sum.unserved += 1;
  }
  return sum;
}

const WEIGHT_LOAD_MS = 20_000;
const DETECT_AND_PLAN_MS = 5_000;
const KILL_AT_MS = 60_000;

/** Measures the time from the death of a single VM until its group serves again with a spare, ms. */
export function measureRepair(
  options: Partial<GroupSimulationOptions> = {},
): number {
  const simulation = createGroupSimulation({
    ...SHAPE,
    seed: 3,
    fencing: "enforced",
    faults: 0,
    weightLoadMs: WEIGHT_LOAD_MS,
    runMs: KILL_AT_MS,
    ...options,
  });
  simulation.run(KILL_AT_MS);
  const before = simulation.servingGroups();
  const [state] = simulation.states();
  const group = [...(state?.fold.groups.values() ?? [])][0];
  const lost = group?.members[1]?.vm;
  if (lost === undefined || before < SHAPE.replicas) return Infinity;
  simulation.killVm(lost);
  for (let at = KILL_AT_MS + 2_000; at < KILL_AT_MS + 120_000; at += 100) {
    simulation.run(at);
    if (simulation.servingGroups() >= before) return at - KILL_AT_MS;
  }
  return Infinity;
}

/** Benches of the group planner. */
export const GROUP_BENCHES: readonly Bench[] = [
  {
    name: "schedules_groups",
    run() {
      const { inTwoGroups, sentToBroken, staleOrders } = sumGroupViolations(
        1,
        SCHEDULES,
      );
      return [
        {
          name: "schedules_groups.in_two_groups",
          value: inTwoGroups,
          unit: "count",
          atMost: 0,
        },
        {
          name: "schedules_groups.sent_to_broken",
          value: sentToBroken,
          unit: "count",
          atMost: 0,
        },
        {
          name: "schedules_groups.stale_orders",
          value: staleOrders,
          unit: "count",
          atMost: 0,
        },
      ];
    },
  },
  {
    name: "group_repair",
    run: () => [{
      name: "group_repair.lone_death",
      value: measureRepair(),
      unit: "ms",
      atMost: WEIGHT_LOAD_MS + DETECT_AND_PLAN_MS,
    }],
  },
];
