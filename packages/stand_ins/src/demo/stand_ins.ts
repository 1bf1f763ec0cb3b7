/**
 * Runs the stand-ins without daemons until SIGTERM or SIGINT, for daemons that run as separate processes.
 *
 * @module
 */
import process from "node:process";
import { startSystem } from "./system.ts";

const STAND_IN_PORTS = { log: 7000, vms: 7100, lending: 8100 } as const;
const STEP_MS = 15;
const WEIGHT_LOAD_MS = 200;

const system = await startSystem({
  daemons: 0,
  standInPorts: STAND_IN_PORTS,
  stepMs: STEP_MS,
  weightLoadMs: WEIGHT_LOAD_MS,
});
console.log(
  "stand-ins ready; start primrosed with examples/loopback/entry-1.jsonc and entry-2.jsonc",
);
for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.on(signal, () => void system.stop().then(() => process.exit(0)));
}
