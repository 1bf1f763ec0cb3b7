/**
 * Runs the demo until SIGTERM or SIGINT; a second signal shortens the graceful stop.
 *
 * @module
 */
import process from "node:process";
import { DEMO_PORTS, startSystem } from "./system.ts";

const DEMO_STEP_MS = 15;
const DEMO_WEIGHT_LOAD_MS = 200;

const starting = startSystem({
  ports: DEMO_PORTS,
  stepMs: DEMO_STEP_MS,
  weightLoadMs: DEMO_WEIGHT_LOAD_MS,
});
let signals = 0;

async function stop(): Promise<void> {
  signals += 1;
  const demo = await starting;
  if (signals > 1) return demo.daemons.forEach((daemon) => daemon.stop());
  await demo.stop();
  process.exit(0);
}

for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.on(signal, () => void stop());
}
await starting;
console.log("ready http://127.0.0.1:8080");
