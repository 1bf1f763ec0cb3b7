// Runs one case: notes what happens in record.txt, ends all that was started, and exits with the case's result.
import { appendFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { HOST, KEY } from "./caller.mjs";

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
const MAX_RUN_MS = 115_000;

/** Returns a configuration of the operator. */
export function createConfig({ version, routes, services, tenants }) {
  return {
    version,
    routes: routes.map((route) => ({
      name: `r-${route.pathPrefix.replaceAll("/", "")}`,
      host: HOST,
      kind: "safe",
      timeoutMs: 1_500,
      targetLatencyMs: 386,
      priority: 1,
      maxAttempts: 2,
      public: false,
      ...route,
    })),
    services: services.map((service) => ({
      healthPath: "/health",
      maxConnections: 200,
      protocol: "h1",
      tls: false,
      ...typeof service === "string" ? { name: service } : service,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: tenants ?? [{ name: "hule930", apiKeys: [KEY], priority: 1 }],
  };
}

/** Runs a case; `play` gets the lab and returns a list of what broke the rule. */
export async function runCase(url, play) {
  const folder = dirname(fileURLToPath(url));
  const file = join(folder, process.argv[2] ?? "record.txt");
  writeFileSync(file, "");
  const startedAt = performance.now();
  const cleanups = [];
  const lab = {
    hasTrouble: process.env.TROUBLE !== "0",
    /** Registers what ends something that was started. */
    onEnd(cleanup) {
      cleanups.push(cleanup);
    },
    /** Writes a line; times are in ms since the start of the case. */
    note(what, at = performance.now()) {
      const ms = (at - startedAt).toFixed(1).padStart(9);
      appendFileSync(file, `${ms} ${what}\n`);
    },
  };
  /** Writes a line for each request of the callers: what was sent, answered and run. */
  lab.noteRequests = (daemons, runners, isWanted = () => true) => {
    const runs = new Map();
    for (const { id: runner, arrivals } of runners) {
      for (const { id, at, hasRun = true } of arrivals) {
        const what = hasRun ? "run by" : "reached";
        const line = `${what} ${runner} at ${(at - startedAt).toFixed(1)}`;
        runs.set(id, [...runs.get(id) ?? [], line]);
      }
    }
    const lines = daemons.flatMap(({ callers }) => callers.sent)
      .filter(isWanted)
      .sort((left, right) => left.sentAt - right.sentAt)
      .map((each) => {
        const ms = (each.sentAt - startedAt).toFixed(1).padStart(9);
        const { id, method, path, daemon, status, cause, endedAt } = each;
        const ended = endedAt === undefined
          ? "no answer"
          : `${status ?? "no answer"}${
            cause === undefined ? "" : ` (${cause})`
          }` +
            ` after ${(endedAt - each.sentAt).toFixed(1)}`;
        const ran = runs.get(id)?.join(", ") ?? "reached no runner";
        return `${ms} ${method} ${path} ${id} to ${daemon}: ${ended}; ${ran}\n`;
      });
    appendFileSync(file, lines.join(""));
  };
  let code = COULD_NOT_RUN;
  const timer = setTimeout(() => {
    lab.note("the case took too long");
    void finish();
  }, MAX_RUN_MS);
  async function finish() {
    clearTimeout(timer);
    for (const cleanup of cleanups.reverse()) {
      try {
        await cleanup();
      } catch (error) {
        lab.note(`could not end: ${error.message}`);
      }
    }
    process.exit(code);
  }
  process.on("SIGTERM", () => void finish());
  process.on("SIGINT", () => void finish());
  try {
    const faults = await play(lab);
    for (const fault of faults.slice(0, 40)) lab.note(`BROKEN ${fault}`);
    lab.note(`${faults.length} breaches`);
    console.log(`${faults.length} breaches; see ${file}`);
    for (const fault of faults.slice(0, 10)) console.log(fault);
    code = faults.length > 0 ? BROKEN : HELD;
  } catch (error) {
    lab.note(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.stack}`);
  }
  await finish();
}

/** Waits until a condition holds; throws where it does not in time. */
export async function until(isMet, what, timeoutMs = 20_000) {
  const end = performance.now() + timeoutMs;
  while (!await isMet()) {
    if (performance.now() > end) throw new Error(`Waited in vain: ${what}`);
    await sleep(20);
  }
}
