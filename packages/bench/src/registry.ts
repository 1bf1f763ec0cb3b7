/**
 * All benches.
 *
 * @module
 */
import { FAIRNESS_BENCHES } from "./policy/fairness.ts";
import { FAULT_BENCHES } from "./policy/faults.ts";
import { FLOOD_BENCHES } from "./policy/floods.ts";
import type { Bench } from "./runner/types.ts";

/** Every bench, in the order in which they run. */
export const BENCHES: readonly Bench[] = [
  ...FLOOD_BENCHES,
  ...FAIRNESS_BENCHES,
  ...FAULT_BENCHES,
];
