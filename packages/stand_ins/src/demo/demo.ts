/**
 * A whole system on loopback: stand-ins of the platform, two owners, three zones, and two daemons.
 *
 * @module
 */
import { generateKeyPairSync } from "node:crypto";
import { createDaemon, type Daemon } from "@primroseshed/daemon";
import { type Engine, startEngine } from "../engine/engine.ts";
import { type LogService, startLogService } from "../log/log_service.ts";
import {
  type Booking,
  type Lending,
  startLending,
} from "../service/lending.ts";
import { startVmService, type VmService } from "../vms/vm_service.ts";
import { createDemoDocument, createDemoSettings } from "./settings.ts";

/** A running demo. */
export interface Demo {
  daemons: Daemon[];
  engines: Engine[];
  log: LogService;
  vms: VmService;
  lending: Lending;
  bookings: Booking[];
  /** Stops the daemons gracefully, then the stand-ins. */
  stop(): Promise<void>;
}

const ZONES = ["suva-a", "nausori-b", "lautoka-c"] as const;
const VMS_PER_ZONE = 2;
const DEMO_STEP_MS = 15;
const LOAD_MS = 200;
const READY_POLL_MS = 20;

async function startEngines(): Promise<Engine[]> {
  const names = ZONES.flatMap((zone) =>
    Array.from(
      { length: VMS_PER_ZONE },
      (_, index) => `engine-${zone}-${index}`,
    )
  );
  return await Promise.all(
    names.map((vm) =>
      startEngine({ vm, stepMs: DEMO_STEP_MS, loadMs: LOAD_MS })
    ),
  );
}

/** Lists engines at the VM service: each zone is one fabric domain. */
export function listEngines(vms: VmService, engines: readonly Engine[]): void {
  engines.forEach(({ vm, address, status }, index) => {
    const zone =
      ZONES[Math.floor(index / VMS_PER_ZONE) % ZONES.length] as string;
    const incarnation = status.incarnation;
    vms.vms.set(vm, {
      vm,
      address,
      zone,
      domain: `${zone}-fabric`,
      incarnation,
      state: "live",
      role: "engine",
      accelerators: 8,
    });
  });
}

async function waitUntilServing(daemons: readonly Daemon[]): Promise<void> {
  const serves = ({ state }: Daemon) =>
    state.ready && [...state.pools.values()].every(({ name, deployment }) => {
      const serving = [...state.targets.values()].filter((target) =>
        target.deployment === name && target.phase === "serving"
      );
      return serving.length >=
        (deployment.kind === "model"
          ? deployment.replicas
          : deployment.backends.length);
    });
  while (!daemons.every(serves)) {
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}

/** Starts the demo; resolves once both daemons serve the model and the lending service. */
export async function startDemo(): Promise<Demo> {
  const log = await startLogService();
  const vms = await startVmService();
  const engines = await startEngines();
  const bookings: Booking[] = [];
  const lending = await startLending({ vm: "lending-1", bookings });
  listEngines(vms, engines);
  const { publicKey, privateKey } = generateKeyPairSync("ed25519");
  const usagePublicKey = publicKey.export({ type: "spki", format: "pem" })
    .toString();
  const usageKey = privateKey.export({ type: "pkcs8", format: "pem" })
    .toString();
  const backends = [{
    vm: "lending-1",
    address: lending.address,
    zone: "suva-a",
  }];
  const document = createDemoDocument({ backends, usagePublicKey });
  log.append("control", [{
    type: "config",
    basedOn: 0,
    document,
    author: "demo",
    id: "demo/config",
    level: 1,
  }]);
  const ports = { callers: 8080, operators: 9090, peers: 7070 };
  const hosts = [["entry-1", "127.0.0.1", "suva-a"], [
    "entry-2",
    "127.0.0.2",
    "nausori-b",
  ]] as const;
  const peers = hosts.map(([name, host]) => ({
    name,
    address: `${host}:${ports.peers}`,
  }));
  const daemons = await Promise.all(
    hosts.map(([name, host, zone]) =>
      createDaemon(createDemoSettings({
        name,
        document,
        log: log.address,
        vms: vms.address,
        host,
        zone,
        ports,
        peers: peers.filter((peer) => peer.name !== name),
        usageKey,
        overrides: { log: { level: "warn" } },
      }))
    ),
  );
  await waitUntilServing(daemons);
  return {
    daemons,
    engines,
    log,
    vms,
    lending,
    bookings,
    async stop() {
      for (const daemon of daemons) daemon.stop();
      await Promise.all(daemons.map(({ stopped }) => stopped));
      await Promise.all(
        [...engines, lending, log, vms].map((standIn) => standIn.close()),
      );
    },
  };
}
