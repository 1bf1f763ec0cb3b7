/**
 * Helpers for the start of a daemon: opens listeners, reads TLS files, creates the signer of usage records.
 *
 * @module
 */
import type { PeerAddress, PeerTls } from "./peers/mesh.ts";
import {
  createDaemonIntake,
  type DaemonIntake,
} from "./intake/daemon_intake.ts";
import type { Logger } from "./observe/logger.ts";
import type { Settings } from "./settings/schema.ts";
import type { State } from "@primroseshed/core";
import { createPrivateKey, randomBytes, sign } from "node:crypto";
import { readFileSync } from "node:fs";
import type { Server } from "node:http";

/** Starts a server and resolves to the address in use, as a URL. */
export function listenOn(
  server: Server,
  { host, port }: { host: string; port: number },
): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(
      port,
      host,
      () =>
        resolve(
          `http://${host}:${(server.address() as { port: number }).port}`,
        ),
    );
  });
}

const INCARNATION_BYTES = 4;
const SEED_RANGE = 2 ** 31;

/** Returns what tells this start of a daemon from its earlier ones, and the seed of its random numbers. */
export function createIdentity(
  seed?: number,
): { incarnation: string; seed: number } {
  return {
    incarnation: randomBytes(INCARNATION_BYTES).toString("hex"),
    seed: seed ?? randomBytes(INCARNATION_BYTES).readUInt32LE() % SEED_RANGE,
  };
}

/** Creates the intake of a daemon. */
export function createIntakeOf(
  { node, limits }: Settings,
  log: Logger["write"],
): DaemonIntake {
  const { maxBodyBytes, headerTimeoutMs } = limits;
  return createDaemonIntake({
    node,
    limits: { maxBodyBytes, headerTimeoutMs },
    log,
  });
}

/** Reads the TLS files for connections between peers; returns an empty object if TLS is not used. */
export function readPeerTls(settings: Settings): { tls?: PeerTls } {
  const { peerTls } = settings;
  if (peerTls === undefined) return {};
  const read = (file: string) => readFileSync(file, "utf8");
  return {
    tls: {
      cert: read(peerTls.certFile),
      key: read(peerTls.keyFile),
      ca: read(peerTls.caFile),
    },
  };
}

/** Returns the function that signs usage records; without a key the signature is empty. */
export function createSigner(
  usageKey: string | undefined,
): (text: string) => string {
  if (usageKey === undefined) return () => "";
  const key = createPrivateKey(usageKey);
  return (text) => sign(null, Buffer.from(text), key).toString("base64");
}

/** Lists the daemons to connect to: those of the settings and every live entry VM. */
export function listPeers(settings: Settings, state: State): PeerAddress[] {
  const peers = new Map(
    settings.peers.map((peer) => [peer.name, peer.address]),
  );
  for (const { vm, address, role, state: vmState } of state.vms.values()) {
    if (role === "entry" && vmState === "live" && vm !== settings.node.name) {
      peers.set(vm, new URL(address).host);
    }
  }
  return [...peers].map(([name, address]) => ({ name, address }));
}
