// The daemon that reads the store for its zone is partitioned from the store, and the operator moves a route.
// The other daemons of the zone reach the store all the while.
import { setTimeout as sleep } from "node:timers/promises";
import { BOUNDS } from "../stand_ins-2/daemon.mjs";
import { startFleet, ZONE_NAMES } from "../stand_ins-2/fleet.mjs";
import { createConfig, runCase } from "../stand_ins-2/lab.mjs";
import { startRunner } from "../stand_ins-2/runner.mjs";
import { startStore } from "../stand_ins-2/store.mjs";

const SERVICES = ["desk-old", "desk-new"];
const RUNNERS_PER_SERVICE = 3;
const CUT_MS = 5_500;
const CALL_EVERY_MS = 20;

/** Returns once a waiting read of the configuration by this daemon has ended. */
function untilRead(store, daemon) {
  return new Promise((resolve) => {
    store.onIdleRead = (caller, topic) => {
      if (caller === daemon.host && topic === "keyed.op") resolve();
    };
  });
}

/** Returns the daemons that wait in the store for a change of the configuration. */
async function findReaders(store, daemons) {
  const hosts = new Set();
  store.onIdleRead = (caller, topic) => {
    if (topic === "keyed.op") hosts.add(caller);
  };
  await sleep(1_500);
  store.onIdleRead = undefined;
  return daemons.filter(({ host }) => hosts.has(host));
}

await runCase(import.meta.url, async (lab) => {
  const store = await startStore();
  lab.onEnd(() => store.stop());
  let version = 0;
  function writeConfig(services) {
    version += 1;
    const routes = services.map((service, index) => ({
      pathPrefix: `/route${index}/`,
      service,
    }));
    return store.put(
      "op",
      "config",
      createConfig({ version, routes, services: SERVICES }),
    );
  }
  const services = ZONE_NAMES.map(() => "desk-old");
  writeConfig(services);
  const runners = [];
  for (const service of SERVICES) {
    for (let index = 0; index < RUNNERS_PER_SERVICE; index += 1) {
      const runner = await startRunner({
        id: `i-${service}-${index}`,
        service,
        store,
        zone: ZONE_NAMES[index],
      });
      lab.onEnd(() => runner.stop());
      runners.push(runner);
    }
  }
  const daemons = await startFleet(lab, { store, net: 61, perZone: 3 });
  await sleep(BOUNDS.settleWindowMs + 2_000);

  const faults = [];
  for (const [round, zone] of ZONE_NAMES.entries()) {
    const readers = await findReaders(store, daemons);
    const reader = readers.find((daemon) => daemon.zone === zone);
    if (reader === undefined) throw new Error(`Nobody reads for ${zone}`);
    const others = daemons.filter((daemon) =>
      daemon.zone === zone && daemon !== reader
    );
    lab.note(`round ${round}: ${reader.name} reads for ${zone}`);
    const path = `/route${round}/1`;
    for (const daemon of others) daemon.callers.every(CALL_EVERY_MS, path);
    await untilRead(store, reader);
    // The answer is on its way.
    await sleep(20);
    if (lab.hasTrouble) reader.proxy.cut();
    lab.note(
      lab.hasTrouble ? `${reader.name} is cut off from the store` : "no cut",
    );
    await sleep(20);
    services[round] = "desk-new";
    const ackedAt = writeConfig(services);
    lab.note(
      `version ${version} is acknowledged: ${path} to desk-new`,
      ackedAt,
    );
    await sleep(CUT_MS);
    for (const daemon of others) daemon.callers.stop();
    await reader.proxy.heal();
    await sleep(1_600);

    lab.noteRequests(others, runners, (each) => each.path === path);
    const sent = new Map(
      others.flatMap(({ callers }) => callers.sent)
        .filter((record) => record.path === path)
        .map((record) => [record.id, record]),
    );
    const last = {};
    for (const { service, arrivals, id } of runners) {
      for (const arrival of arrivals) {
        const record = sent.get(arrival.id);
        if (record === undefined || service !== "desk-old") continue;
        if (record.sentAt <= ackedAt) continue;
        const afterMs = record.sentAt - ackedAt;
        last[record.daemon] = Math.round(afterMs);
        if (afterMs <= BOUNDS.configApplyMs) continue;
        faults.push(
          `CONFIG ${record.id}, sent to ${record.daemon} ` +
            `${afterMs.toFixed(0)} ms after the ack of version ${version}, ` +
            `was run by ${id} of desk-old`,
        );
      }
    }
    const statuses = {};
    for (const { status, cause } of sent.values()) {
      const key = status ?? cause;
      statuses[key] = (statuses[key] ?? 0) + 1;
    }
    lab.note(
      `${sent.size} requests, answers ${JSON.stringify(statuses)}; ` +
        `last run by desk-old, ms after the ack: ${JSON.stringify(last)}`,
    );
    await sleep(4_000);
  }
  return faults;
});
