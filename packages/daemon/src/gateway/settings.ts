/**
 * Settings of a gateway, the daemon that routes by host and path to a shared fleet.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { checkSchema, isAddress, parseJsonc } from "@primroseshed/core";
import * as z from "zod";
import { SettingsError } from "../settings/load.ts";

const address = z.string().refine(
  isAddress,
  "must be IP:PORT with a numeric IP address and a port from 1 to 65535",
);
const milliseconds = z.number().positive();

/** Schema and defaults of the settings. */
export const gatewaySettingsSchema = z.strictObject({
  node: z.strictObject({
    name: z.string(),
    zone: z.string(),
    /** Memory of the VM, MB. */
    memoryMb: z.number().positive().default(256),
    /** File descriptors that the process may open. */
    maxDescriptors: z.number().int().positive().default(4_096),
    /** Processor share of the VM, cores; daemons on larger VMs read the store for the others of their zone. */
    cores: z.number().positive().default(1),
  }),
  listen: z.strictObject({
    callers: address,
    ready: address,
    operators: address,
    /** For other daemons, which then share the reads of the store; every daemon reads for itself where it is unset. */
    followers: address.optional(),
  }),
  store: z.strictObject({
    address,
    /** Longest time for which a read of the configuration waits for a change. */
    routingWaitMs: milliseconds.default(1_000),
    /** Longest time for which a read of the list of runners waits for a change. */
    runnersWaitMs: milliseconds.default(1_500),
    /** Longest time for which a read of the registered daemons waits for a change. */
    daemonsWaitMs: milliseconds.default(20_000),
    /** Time for which registrations of daemons are batched. */
    daemonsGatherMs: milliseconds.default(2_000),
    /** Longest time for which a read of the suspected parts of prompts waits for a change. */
    partsWaitMs: milliseconds.default(5_000),
    /** Shortest time for which changes of runners are batched. */
    gatherMs: milliseconds.default(200),
    /** Additional batching time for each known runner. */
    gatherMsPerRunner: milliseconds.default(5),
    /** Longest time for which changes of runners are batched. */
    maxGatherMs: milliseconds.default(1_500),
    /** Shortest batching time while this daemon plans the groups. */
    plannerGatherMs: milliseconds.default(40),
    /** Additional batching time for each known runner while this daemon plans the groups. */
    plannerGatherMsPerRunner: milliseconds.default(0.5),
    /** Longest batching time while this daemon plans the groups. */
    maxPlannerGatherMs: milliseconds.default(120),
    /** A call without a response fails this long after the end of its wait. */
    timeoutMs: milliseconds.default(1_200),
    dutyEveryMs: milliseconds.default(330),
    dutyTtlMs: milliseconds.default(1_000),
  }),
  bounds: z.strictObject({
    revokeMs: milliseconds,
    /** Time within which a new configuration must be in force. */
    configApplyMs: milliseconds.default(2_000),
    /** Time after which a runner that leaves must get no requests. */
    drainMs: milliseconds.default(2_000),
    retryRatio: z.number(),
    retrySlack: z.number(),
    retryWindowS: z.number().positive(),
    graceS: z.number().positive(),
    stallMs: milliseconds,
    firstStart: z.boolean(),
    /** Factor on a cold runner's limit within which the requests of all daemons must stay in any second. */
    coldOverage: z.number().min(1).default(1),
    /** Requests beyond that which a cold runner may get in any second. */
    coldSlack: z.number().min(0).default(0),
    /** Time after which nothing reaches the runners of an evacuated availability zone any more. */
    evacuateMs: milliseconds.default(5_000),
  }),
  /** Regions by availability zone, for routes and teams that may be served in some regions only. */
  regions: z.record(z.string(), z.string()).default({}),
  /** True where daemons share load reports and capacity at services that start cold or that equal streams compete for. */
  isCapacityShared: z.boolean().default(false),
  /** Second copies of slow requests that may be repeated; none are sent where it is unset. */
  hedging: z.strictObject({
    /** Hedged requests as a share of the requests to a service. */
    maxShare: z.number().gt(0).max(0.5),
    /** Percentile of the observed times to the first response after which a request is hedged. */
    percentile: z.number().min(50).max(99.9).default(95),
  }).optional(),
  timing: z.strictObject({
    connectTimeoutMs: milliseconds.default(300),
    orderTimeoutMs: milliseconds.default(800),
    probeTimeoutMs: milliseconds.default(350),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["error", "warn", "info"]).default("info"),
  }).prefault({}),
});

/** Settings with all defaults applied. */
export type GatewaySettingsFile = z.output<typeof gatewaySettingsSchema>;

/**
 * Loads the settings of a gateway.
 *
 * @throws {SettingsError} The settings are unusable; the message names file, field and what to change.
 * @example
 * ```ts
 * const { node } = loadGatewaySettings("/etc/primroseshed/settings.conf");
 * ```
 */
export function loadGatewaySettings(file: string): GatewaySettingsFile {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    const message = `cannot read this file (${code}); check the path`;
    throw new SettingsError([
      { file, line: undefined, field: "settings", message },
    ]);
  }
  const source = { file, text };
  const parsed = parseJsonc(source);
  if (!parsed.ok) throw new SettingsError(parsed.problems);
  const checked = checkSchema(gatewaySettingsSchema, parsed.value, {
    sources: [source],
  });
  if (!checked.ok) throw new SettingsError(checked.problems);
  return checked.value;
}
