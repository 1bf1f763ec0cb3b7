/**
 * Starts a whole system on loopback: stand-ins of the platform, engines and a lending service, and real daemons.
 *
 * @module
 */
import { generateKeyPairSync } from "node:crypto";
import {
  type Connect,
  createDaemon,
  type Daemon,
  type Logger,
} from "@primroseshed/daemon";
import { type Engine, startEngine } from "../engine/engine.ts";
import { type LogService, startLogService } from "../log/log_service.ts";
import {
  type Booking,
  type LendingServer,
  startLendingServer,
} from "../service/lending.ts";
import { startVmService, type VmService } from "../vms/vm_service.ts";
import { createDemoDocument, createDemoSettings } from "./settings.ts";

/** Zones of the demo; each is one fabric domain. */
export const ZONES = ["suva-a", "nausori-b", "lautoka-c"] as const;

/** Options of {@link startSystem}. */
export interface SystemOptions {
  daemons?: number;
  /** Engine VMs in each zone. */
  enginesPerZone?: number;
  lendingServers?: number;
  replicas?: number;
  vmsPerReplica?: number;
  /** Pause between an engine's tokens, ms. */
  stepMs?: number;
  /** Weight load time of an engine, ms. */
  weightLoadMs?: number;
  /** Length of every response, tokens; derived from the prompt by default. */
  responseTokens?: number;
  /** Fixed ports of the daemons; free ones by default. */
  ports?: { callers: number; operators: number; peers: number };
  /** Fixed ports of the stand-ins that daemons' settings name; free ones by default. */
  standInPorts?: { log: number; vms: number; lending: number };
  policy?: Record<string, unknown>;
  /** Extra settings of the lending deployment. */
  lendingSettings?: Record<string, unknown>;
  /** Extra settings of each daemon. */
  overrides?: Record<string, unknown>;
  logger?: Logger;
  /** Opens the connections of the daemon with this number, from 1, to backend servers. */
  connectOf?(daemon: number): Connect | undefined;
}

/** A running system. */
export interface System {
  daemons: Daemon[];
  engines: Engine[];
  log: LogService;
  vms: VmService;
  lendingServers: LendingServer[];
  bookings: Booking[];
  /** Starts one more daemon under the next name, as a new entry VM would. */
  addDaemon(): Promise<Daemon>;
  /** Stops the daemons gracefully, then the stand-ins. */
  stop(): Promise<void>;
  /** Stops everything at once. */
  kill(): Promise<void>;
}

const READY_POLL_MS = 10;
const PEERS_PORT = 7070;

function registerEngines(
  vms: VmService,
  engines: readonly Engine[],
  perZone: number,
): void {
  engines.forEach(({ vm, address, status }, index) => {
    const zone = ZONES[Math.floor(index / perZone)] ?? ZONES[0];
    vms.vms.set(vm, {
      vm,
      address,
      zone,
      domain: `${zone}-fabric`,
      incarnation: status.incarnation,
      state: "live",
      role: "engine",
      accelerators: 8,
    });
  });
}

/** Resolves once `condition` returns true; there is no limit other than the test's own timeout. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}

/** Returns whether a daemon serves every deployment with all of its replicas or backend servers. */
export function isFullyServing({ state }: Daemon): boolean {
  return state.ready &&
    [...state.pools.values()].every(({ targets, deployment }) => {
      const serving = [...targets].filter((name) =>
        state.targets.get(name)?.phase === "serving"
      );
      return serving.length >=
        (deployment.kind === "model"
          ? deployment.replicas
          : deployment.backends.length);
    });
}

function createUsageKeys() {
  const { publicKey, privateKey } = generateKeyPairSync("ed25519");
  return {
    publicKey: publicKey.export({ type: "spki", format: "pem" }).toString(),
    privateKey: privateKey.export({ type: "pkcs8", format: "pem" }).toString(),
  };
}

/** Starts a system; resolves once every daemon serves every deployment in full. */
export async function startSystem(
  options: SystemOptions = {},
): Promise<System> {
  const {
    daemons: daemonCount = 2,
    enginesPerZone = 2,
    lendingServers: lendingServerCount = 1,
    stepMs = 1,
    weightLoadMs = 10,
  } = options;
  const { standInPorts } = options;
  const log = await startLogService({ port: standInPorts?.log ?? 0 });
  const vms = await startVmService({ port: standInPorts?.vms ?? 0 });
  const names = ZONES.flatMap((zone) =>
    Array.from(
      { length: enginesPerZone },
      (_, index) => `engine-${zone}-${index}`,
    )
  );
  const engines = await Promise.all(
    names.map((vm) =>
      startEngine({
        vm,
        stepMs,
        weightLoadMs,
        ...(options.responseTokens &&
          { responseTokens: options.responseTokens }),
      })
    ),
  );
  const bookings: Booking[] = [];
  const lendingServers = await Promise.all(
    Array.from(
      { length: lendingServerCount },
      (_, index) =>
        startLendingServer({
          vm: `lending-${index + 1}`,
          bookings,
          port: standInPorts ? standInPorts.lending + index : 0,
        }),
    ),
  );
  registerEngines(vms, engines, enginesPerZone);
  const keys = createUsageKeys();
  const backends = lendingServers.map(({ address, status }) => ({
    vm: status.vm,
    address,
    zone: ZONES[0],
  }));
  const { replicas = 2, vmsPerReplica = 2, policy = {}, lendingSettings = {} } =
    options;
  const document = createDemoDocument({
    backends,
    replicas,
    vmsPerReplica,
    policy,
    lendingSettings,
    usagePublicKey: keys.publicKey,
  });
  log.append("control", [{
    type: "config",
    basedOn: 0,
    document,
    author: "demo",
    id: "demo/config",
    level: 1,
  }]);
  const daemons: Daemon[] = [];

  async function addDaemon(): Promise<Daemon> {
    const number = daemons.length + 1;
    const name = `entry-${number}`;
    const host = `127.0.0.${number}`;
    const zone = ZONES[(number - 1) % ZONES.length] ?? ZONES[0];
    const settings = createDemoSettings({
      name,
      document,
      log: log.address,
      vms: vms.address,
      host,
      zone,
      usageKey: keys.privateKey,
      ...(options.ports && { ports: options.ports }),
      overrides: { log: { level: "warn" }, ...options.overrides },
    });
    const connect = options.connectOf?.(number);
    const daemon = await createDaemon(settings, {
      ...options.logger && { logger: options.logger },
      ...connect && { connect },
    });
    daemons.push(daemon);
    const { incarnation } = daemon.state.node;
    const address = `http://${daemon.addresses.peers}`;
    vms.vms.set(name, {
      vm: name,
      address,
      zone,
      domain: "",
      incarnation,
      state: "live",
      role: "entry",
      accelerators: 0,
    });
    return daemon;
  }

  async function closeAll(): Promise<void> {
    await Promise.all(daemons.map(({ stopped }) => stopped));
    await Promise.all(
      [...engines, ...lendingServers, log, vms].map((standIn) =>
        standIn.close()
      ),
    );
  }

  for (let index = 0; index < daemonCount; index++) await addDaemon();
  await waitUntil(() => daemons.every(isFullyServing));
  return {
    daemons,
    engines,
    log,
    vms,
    lendingServers,
    bookings,
    addDaemon,
    async stop() {
      for (const daemon of daemons) daemon.stop();
      await closeAll();
    },
    async kill() {
      for (const daemon of daemons) {
        daemon.stop();
        daemon.stop();
      }
      await closeAll();
    },
  };
}

/** Ports of `npm start`. */
export const DEMO_PORTS = {
  callers: 8080,
  operators: 9090,
  peers: PEERS_PORT,
} as const;
