/**
 * Two entries of the store come from another writer: their address is none. Do the daemons go on?
 */
import http from "node:http";
import {
  call,
  createConfig,
  runScript,
  sleep,
  startDaemon,
  startRunner,
  startStore,
  waitFor,
} from "../stand_ins/platform.mjs";

const PLAY_MS = 20_000;
const CALLERS_EACH = 8;
const RESTART_MS = 1_000;
/** The rule allows this many requests that are cut off at one machine. */
const ALLOWED = 3;

await runScript(import.meta.dirname, async ({ note, isTroubled }) => {
  const store = await startStore();
  store.put("op", "config", createConfig(1));
  const runners = [];
  for (const id of ["r1", "r2", "r3"]) {
    runners.push(
      await startRunner(store, {
        id,
        zone: id.replace("r", "z"),
        slots: 12,
        workMs: 86,
      }),
    );
  }
  const fleet = [];
  for (const zone of ["z1", "z2", "z3"]) {
    const name = `front-${zone}`;
    const machine = { name, zone, ends: 0, cut: [] };
    machine.daemon = await startDaemon(store, { name, zone });
    fleet.push(machine);
  }
  for (const { daemon } of fleet) await waitFor("ready", daemon.isReady);
  await sleep(1_000);

  const startedAt = Date.now();
  const isOver = () => Date.now() - startedAt > PLAY_MS;

  /** Starts a process again that has ended, as the platform does. */
  async function supervise(machine) {
    while (!isOver()) {
      const ended = await Promise.race([
        machine.daemon.exited,
        sleep(PLAY_MS - (Date.now() - startedAt) + 100),
      ]);
      if (ended === undefined) return;
      machine.ends += 1;
      const cause = machine.daemon.lines.find((line) => /Error/.test(line));
      note(
        `${machine.name} ended by itself, code ${ended.code}: ${
          cause?.slice(0, 160)
        }`,
      );
      await sleep(RESTART_MS);
      const { name, zone, daemon: { port: ports } } = machine;
      machine.daemon = await startDaemon(store, {
        name,
        zone,
        ports,
        bootstrap: false,
      });
    }
  }

  let count = 0;
  async function caller(machine) {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let isKept = false;
    while (!isOver()) {
      count += 1;
      const id = `a${count}`;
      const isBooking = count % 7 < 2;
      const { status, end, tookMs } = await call(machine.daemon, {
        id,
        path: isBooking ? "/book/1" : "/look/1",
        method: isBooking ? "POST" : "GET",
        agent,
      });
      const hasRun = runners.some(({ runs }) =>
        runs.some(({ attempt }) => attempt === id)
      );
      note(
        `sent ${id} to ${machine.name}, answered ${status} ${end} after ` +
          `${tookMs} ms, ${hasRun ? "run" : "not run"}`,
      );
      // A request that found its connection closed already was not passed on.
      if (isKept && hasRun && end !== "complete" && end !== "no answer") {
        machine.cut.push(id);
      }
      isKept = end === "complete";
      await sleep(isKept ? 40 : 200);
    }
    agent.destroy();
  }

  const tasks = fleet.flatMap((machine) => [
    supervise(machine),
    ...Array.from({ length: CALLERS_EACH }, () => caller(machine)),
  ]);
  await sleep(2_000);
  if (isTroubled) {
    for (const [id, port] of [["w1", 99_991], ["w2", 99_992]]) {
      const entry = {
        service: "desk",
        address: `127.0.0.1:${port}`,
        zone: "z1",
        version: "v1",
        slots: 6,
        state: "ready",
        coldRemainingMs: 0,
        sequence: 1,
        born: Date.now(),
      };
      note(`another writer: servers/${id} ${JSON.stringify(entry)}`);
      store.put("servers", id, entry);
    }
  }
  await Promise.all(tasks);
  const broken = [];
  for (const { name, ends, cut } of fleet) {
    note(`${name} ended ${ends} times and cut ${cut.length} requests off`);
    if (cut.length > ALLOWED) {
      broken.push(
        `${name}: ${cut.length} requests of kept connections were passed on to ` +
          `sound runners and their connections closed without an answer ` +
          `(${cut.slice(0, 8).join(" ")}); the process ended ${ends} times`,
      );
    }
  }
  return broken;
});
