/**
 * Schema and defaults of a daemon's own settings.
 *
 * @module
 */
import * as z from "zod";

const ip = z.string().regex(
  /^[0-9a-f.:]+$/i,
  "must be a numeric IP address, not a host name",
);
const port = z.number().int().min(0).max(65_535);
const listener = z.strictObject({ host: ip, port });
const url = z.string().regex(
  /^https?:\/\/[0-9a-f.:[\]]+:\d+$/i,
  "must be http://IP:PORT",
);
const milliseconds = z.number().int().positive();

const peerSchema = z.strictObject({ name: z.string(), address: z.string() });

const tlsSchema = z.strictObject({
  certFile: z.string(),
  keyFile: z.string(),
  caFile: z.string(),
});

/** Schema of the settings of one daemon. */
export const settingsSchema = z.strictObject({
  node: z.strictObject({
    name: z.string().regex(
      /^[a-z0-9][a-z0-9-]*$/,
      "must be lower-case letters, digits and hyphens",
    ),
    owner: z.string(),
    zone: z.string(),
    site: z.string(),
    /** Memory of the VM, MB. */
    memoryMb: z.number().positive().default(256),
    /** File descriptors that the process may open. */
    maxDescriptors: z.number().int().positive().default(4_096),
  }),
  listen: z.strictObject({
    callers: listener,
    operators: listener,
    peers: listener,
  }),
  config: z.strictObject({
    base: z.string(),
    overlays: z.record(z.string(), z.string()).default({}),
  }),
  platform: z.strictObject({ log: url, vms: url.optional() }),
  peers: z.array(peerSchema).default([]),
  peerTls: tlsSchema.optional(),
  secrets: z.strictObject({
    operatorKeySha256: z.string().regex(
      /^[0-9a-f]{64}$/,
      "must be the SHA-256 of the key in 64 hex digits",
    ),
    peerKeyFile: z.string(),
    usageKeyFile: z.string().optional(),
  }),
  limits: z.strictObject({
    maxBodyBytes: z.number().int().positive().default(4 * 1024 * 1024),
    maxHeaderBytes: z.number().int().positive().default(16 * 1024),
    maxHeaders: z.number().int().positive().default(100),
    replayBytes: z.number().int().positive().default(64 * 1024),
    headerTimeoutMs: milliseconds.default(10_000),
    bodyTimeoutMs: milliseconds.default(60_000),
    callerStallMs: milliseconds.default(30_000),
  }).prefault({}),
  timing: z.strictObject({
    statusPollMs: milliseconds.default(500),
    statusTimeoutMs: milliseconds.default(400),
    vmListPollMs: milliseconds.default(1_000),
    connectTimeoutMs: milliseconds.default(1_000),
    firstByteTimeoutMs: milliseconds.default(30_000),
    logPollMs: milliseconds.default(5_000),
    groupCommitMs: milliseconds.default(20),
    balancerLagMs: milliseconds.default(2_000),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["error", "warn", "info"]).default("info"),
  }).prefault({}),
  seed: z.number().int().optional(),
});

/** Settings of one daemon with all defaults applied. */
export type Settings = z.output<typeof settingsSchema>;
