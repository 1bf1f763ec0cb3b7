/**
 * Benches that run many random schedules and count violations of the guarantees.
 *
 * @module
 */
import type { Bench, Figure } from "../figure.ts";
import {
  checkSchedule,
  runSchedule,
  type ScheduleViolations,
} from "./schedule.ts";

const SCHEDULES = 10_000;
const ENTRIES = 3;

/** Runs `count` schedules with consecutive seeds from `firstSeed` and sums their violations. */
export function sumScheduleViolations(
  firstSeed: number,
  count: number,
): ScheduleViolations {
  const sum: ScheduleViolations = {
    runTwice: 0,
    falselyNotRun: 0,
    untold: 0,
    reversions: 0,
    differentFolds: 0,
  };
  for (let seed = firstSeed; seed < firstSeed + count; seed++) {
    const violations = checkSchedule(
      runSchedule({
        seed,
        entries: ENTRIES,
        bookings: 12,
        keys: 4,
        configs: 4,
        faults: 4,
      }),
    );
    for (const name of Object.keys(sum) as (keyof ScheduleViolations)[]) {
      sum[name] += violations[name];
    }
  }
  return sum;
}

let totalViolations: ScheduleViolations | undefined;

function figuresOf(
  prefix: string,
  names: readonly (keyof ScheduleViolations)[],
): Figure[] {
  totalViolations ??= sumScheduleViolations(1, SCHEDULES);
  return names.map((name) => ({
    name: `${prefix}.${name}`,
    value: totalViolations?.[name] ?? NaN,
    unit: "count",
    atMost: 0,
  }));
}

/** Benches of random schedules of bookings and configuration changes. */
export const SCHEDULE_BENCHES: readonly Bench[] = [
  {
    name: "schedules_bookings",
    run: () =>
      figuresOf("schedules_bookings", ["runTwice", "falselyNotRun", "untold"]),
  },
  {
    name: "schedules_config",
    run: () => figuresOf("schedules_config", ["reversions", "differentFolds"]),
  },
];
