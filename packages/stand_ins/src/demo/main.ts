/**
 * Runs the demo until a signal.
 *
 * @module
 */
import process from "node:process";
import { startDemo } from "./demo.ts";

const starting = startDemo();
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
