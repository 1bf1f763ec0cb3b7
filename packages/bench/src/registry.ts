/**
 * Lists all benches.
 *
 * @module
 */
import { FAIRNESS_BENCHES } from "./policy/fairness.ts";
import { FAULT_BENCHES } from "./policy/faults.ts";
import { FLOOD_BENCHES } from "./policy/floods.ts";
import { CORE_BENCHES } from "./path/core_step.ts";
import { RELAY_BENCHES } from "./path/relay.ts";
import { SCHEDULE_BENCHES } from "./schedules/benches.ts";
import { CONTROL_BENCHES } from "./control/benches.ts";
import { GROUP_BENCHES } from "./groups/benches.ts";
import { PARTITION_BENCHES } from "./control/partitions.ts";
import type { Bench } from "./figure.ts";

/** Every bench, in the order in which they run. */
export const BENCHES: readonly Bench[] = [
  ...RELAY_BENCHES,
  ...CORE_BENCHES,
  ...FLOOD_BENCHES,
  ...FAIRNESS_BENCHES,
  ...FAULT_BENCHES,
  ...SCHEDULE_BENCHES,
  ...GROUP_BENCHES,
  ...CONTROL_BENCHES,
  ...PARTITION_BENCHES,
];
