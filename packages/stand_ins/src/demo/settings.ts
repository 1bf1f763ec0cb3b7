/**
 * Settings of the demo and of tests with real daemons.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { ConfigDocument } from "@primroseshed/core";
import { type LoadedSettings, settingsSchema } from "@primroseshed/daemon";

/** Key of the demo's operators. */
export const OPERATOR_KEY = "demo-operator-key";
/** Keys of the demo's callers. */
export const CALLER_KEYS = {
  tavua: "demo-tavua-key",
  abay: "demo-abay-key",
} as const;
/** Key with which the demo's daemons authenticate each other; for loopback only. */
export const PEER_KEY = "demo-peer-key";

/** Returns the SHA-256 hash of a key in hex, as it stands in settings. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Options of {@link createDemoDocument}. */
export interface DemoConfigOptions {
  /** Backend servers of the lending service. */
  backends: { vm: string; address: string; zone: string }[];
  replicas?: number;
  vmsPerReplica?: number;
  usagePublicKey?: string;
  policy?: Record<string, unknown>;
  lendingSettings?: Record<string, unknown>;
}

function createOwner(key: string, usagePublicKey: string | undefined) {
  const callers = { frontdesk: { keySha256: hashKey(key) } };
  return {
    share: 1,
    usagePublicKeys: usagePublicKey ? [usagePublicKey] : [],
    teams: { main: { callers } },
  };
}

/** Creates the demo's configuration: two owners, one model, one lending service. */
export function createDemoDocument(options: DemoConfigOptions): ConfigDocument {
  const {
    backends,
    replicas = 2,
    vmsPerReplica = 2,
    usagePublicKey,
    policy = {},
    lendingSettings = {},
  } = options;
  const callers = ["tavua", "abay"];
  return {
    base: {
      version: 1,
      owners: {
        tavua: createOwner(CALLER_KEYS.tavua, usagePublicKey),
        abay: createOwner(CALLER_KEYS.abay, usagePublicKey),
      },
      deployments: {
        assistant: { kind: "model", callers, replicas, vmsPerReplica },
        lending: {
          kind: "service",
          callers,
          backends,
          notRunStatuses: [503],
          ...lendingSettings,
        },
      },
      policy,
    },
    overlays: {},
  };
}

/** Options of {@link createDemoSettings}. */
export interface DemoDaemonOptions {
  name: string;
  document: ConfigDocument;
  log: string;
  vms: string;
  host?: string;
  zone?: string;
  ports?: { callers: number; operators: number; peers: number };
  peers?: { name: string; address: string }[];
  usageKey?: string;
  overrides?: Record<string, unknown>;
}

/** Creates the settings of a demo daemon in the form that they have after loading from files. */
export function createDemoSettings(options: DemoDaemonOptions): LoadedSettings {
  const {
    name,
    document,
    log,
    vms,
    host = "127.0.0.1",
    zone = "suva-a",
    peers = [],
    usageKey,
  } = options;
  const ports = options.ports ?? { callers: 0, operators: 0, peers: 0 };
  const listen = (port: number) => ({ host, port });
  const settings = settingsSchema.parse({
    node: { name, owner: "tavua", zone, site: zone },
    listen: {
      callers: listen(ports.callers),
      operators: listen(ports.operators),
      peers: listen(ports.peers),
    },
    config: { base: "embedded" },
    platform: { log, vms },
    peers,
    secrets: {
      operatorKeySha256: hashKey(OPERATOR_KEY),
      peerKeyFile: "embedded",
    },
    ...options.overrides,
  });
  return { settings, document, peerKey: PEER_KEY, usageKey };
}
