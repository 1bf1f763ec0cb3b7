/**
 * Starts the product's own daemon as a process of its own, beside the stand-ins of the demo.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createDemoDocument,
  createDemoSettings,
  type DaemonProcess,
  PEER_KEY,
  startDaemonProcess,
  startSystem,
  type System,
} from "@primroseshed/stand_ins";

/** A daemon in a process of its own, and the stand-ins that it uses. */
export interface ProcessSystem {
  daemon: DaemonProcess;
  /** Port of the callers' listener on loopback. */
  port: number;
  system: System;
  stop(): Promise<void>;
}

const SCRIPT = fileURLToPath(
  new URL("../../daemon/bin/primrosed.js", import.meta.url),
);
const HOST = "127.0.0.1";
const READY_POLL_MS = 20;
const READY_TIMEOUT_MS = 20_000;

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, () => resolve()));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function waitUntilReady(
  daemon: DaemonProcess,
  operatorsPort: number,
): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (true) {
    const response = await fetch(`http://${HOST}:${operatorsPort}/readyz`)
      .catch(() => undefined);
    if (response?.status === 200) return;
    if (!daemon.isAlive() || Date.now() > deadline) {
      throw new Error(`Daemon is not ready: ${daemon.output()}`);
    }
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}

/** Writes the settings of a daemon into a folder; returns their path. */
function writeSettings(
  folder: string,
  { system, node, ports }: {
    system: System;
    node: Record<string, unknown>;
    ports: { callers: number; operators: number; peers: number };
  },
): string {
  const backends = system.lendingServers.map(({ address, status }) => ({
    vm: status.vm,
    address,
    zone: "suva-a",
  }));
  const document = createDemoDocument({ backends });
  const { settings } = createDemoSettings({
    name: "entry-1",
    document,
    log: system.log.address,
    vms: system.vms.address,
    ports,
  });
  const changed = {
    ...settings,
    node: { ...settings.node, ...node },
    config: { base: "base.jsonc" },
    secrets: { ...settings.secrets, peerKeyFile: "peer.key" },
  };
  const file = join(folder, "settings.jsonc");
  writeFileSync(join(folder, "base.jsonc"), JSON.stringify(document.base));
  writeFileSync(join(folder, "peer.key"), PEER_KEY);
  writeFileSync(file, JSON.stringify(changed));
  return file;
}

/** Starts a daemon; `node` changes the settings of its VM. Resolves once it is ready. */
export async function startProcessSystem(
  { node = {}, heapMb }: { node?: Record<string, unknown>; heapMb: number },
): Promise<ProcessSystem> {
  const system = await startSystem({ daemons: 0 });
  const ports = {
    callers: await freePort(),
    operators: await freePort(),
    peers: await freePort(),
  };
  const folder = mkdtempSync(join(tmpdir(), "daemon-"));
  const settings = writeSettings(folder, { system, node, ports });
  const daemon = startDaemonProcess({ script: SCRIPT, settings, heapMb });
  await waitUntilReady(daemon, ports.operators);
  return {
    daemon,
    port: ports.callers,
    system,
    async stop() {
      await daemon.kill();
      await system.kill();
      rmSync(folder, { recursive: true });
    },
  };
}
