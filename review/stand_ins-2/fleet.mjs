// Starts the daemons of a small deployment, each with a path of its own to the store.
import { createCallers } from "./caller.mjs";
import { startDaemon } from "./daemon.mjs";
import { startProxy } from "./proxy.mjs";

/** Availability zones of the deployment, with their region. */
export const ZONES = { bole: "addis", kality: "addis", entoto: "addis" };
export const ZONE_NAMES = Object.keys(ZONES);

/** Starts daemons on `127.0.NET.1` and the addresses after it; resolves once all are ready. */
export async function startFleet(lab, { store, net, perZone, bounds }) {
  const daemons = [];
  for (const zone of ZONE_NAMES) {
    for (let index = 1; index <= perZone; index += 1) {
      const host = `127.0.${net}.${daemons.length + 1}`;
      const proxy = await startProxy(store.address, host);
      lab.onEnd(() => proxy.stop());
      const daemon = await startDaemon({
        name: `front-${zone}-${index}`,
        host,
        zone,
        zones: ZONES,
        storeAddress: proxy.address,
        bounds,
      });
      lab.onEnd(() => daemon.remove());
      daemon.proxy = proxy;
      daemon.callers = createCallers(daemon);
      lab.onEnd(() => {
        daemon.callers.stop();
        daemon.callers.close();
      });
      daemons.push(daemon);
    }
  }
  for (const daemon of daemons) await daemon.untilReady();
  return daemons;
}
