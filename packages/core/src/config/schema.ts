/**
 * Schema of the fleet configuration, with all defaults.
 *
 * @module
 */
import * as z from "zod";

const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]*$/,
  "must be lower-case letters, digits and hyphens",
);
const share = z.number().min(0).max(1);
const milliseconds = z.number().int().positive();
const rank = z.enum(["urgent", "standard", "batch"]);
const address = z.string().regex(
  /^https?:\/\/[0-9a-f.:[\]]+:\d+$/i,
  "must be http://IP:PORT",
).refine((text) => URL.canParse(text), "must have a port from 1 to 65535");
const weight = z.number().positive().default(1);

const limitSchema = z.strictObject({
  requestsPerMinute: z.number().positive().optional(),
  tokensPerMinute: z.number().positive().optional(),
}).default({});

const callerSchema = z.strictObject({
  keySha256: z.string().regex(
    /^[0-9a-f]{64}$/,
    "must be the SHA-256 of the key in 64 hex digits",
  ),
  weight,
  limit: limitSchema,
});

const teamSchema = z.strictObject({
  weight,
  limit: limitSchema,
  callers: z.record(name, callerSchema),
});

const ownerSchema = z.strictObject({
  share: z.number().positive(),
  limit: limitSchema,
  usagePublicKeys: z.array(z.string()).default([]),
  teams: z.record(name, teamSchema),
});

const audience = {
  callers: z.array(z.string()).min(1),
  ranks: z.array(rank).min(1).default(["urgent", "standard", "batch"]),
  sites: z.array(z.string()).default([]),
};

const modelSchema = z.strictObject({
  kind: z.literal("model"),
  ...audience,
  replicas: z.number().int().positive(),
  vmsPerReplica: z.number().int().positive(),
  acceleratorsPerVm: z.number().int().positive().default(8),
  fencing: z.enum(["enforced", "ignored"]).default("enforced"),
  maxPromptTokens: z.number().int().positive().default(32_768),
  maxOutputTokens: z.number().int().positive().default(4_096),
  maxBatch: z.number().int().positive().default(64),
});

/** Schema of one backend server of a plain service. */
export const backendSchema = z.strictObject({
  vm: name,
  address,
  zone: name,
});

const serviceSchema = z.strictObject({
  kind: z.literal("service"),
  ...audience,
  backends: z.array(backendSchema).min(1),
  idempotentMethods: z.array(z.string()).default([
    "GET",
    "HEAD",
    "OPTIONS",
    "PUT",
    "DELETE",
  ]),
  notRunStatuses: z.array(z.number().int().min(400).max(599)).default([]),
  concurrency: z.number().int().positive().default(64),
  responseTimeoutMs: milliseconds.default(10_000),
});

/** Schema of one deployment. */
export const deploymentSchema = z.discriminatedUnion("kind", [
  modelSchema,
  serviceSchema,
]);

function rankSchema(
  defaults: {
    floor: number;
    firstTokenMs: number;
    queueWaitMs: number;
    deadlineMs: number;
  },
) {
  return z.strictObject({
    floor: share.default(defaults.floor),
    firstTokenMs: milliseconds.default(defaults.firstTokenMs),
    queueWaitMs: milliseconds.default(defaults.queueWaitMs),
    deadlineMs: milliseconds.default(defaults.deadlineMs),
  }).prefault({});
}

const ranksSchema = z.strictObject({
  urgent: rankSchema({
    floor: 0,
    firstTokenMs: 730,
    queueWaitMs: 280,
    deadlineMs: 60_000,
  }),
  standard: rankSchema({
    floor: 0.1,
    firstTokenMs: 730,
    queueWaitMs: 320,
    deadlineMs: 120_000,
  }),
  batch: rankSchema({
    floor: 0.05,
    firstTokenMs: 600_000,
    queueWaitMs: 600_000,
    deadlineMs: 3_600_000,
  }),
}).prefault({});

const policySchema = z.strictObject({
  betweenTokensMs: milliseconds.default(29),
  queueMaxRequests: z.number().int().positive().default(2_000),
  retryShare: share.default(0.1),
  maxAttempts: z.number().int().positive().default(4),
  ejectionMaxShare: share.default(0.3),
  ejectionMs: milliseconds.default(5_000),
  stallMs: milliseconds.default(2_000),
  memberFreshMs: milliseconds.default(1_500),
  watchedTargets: z.number().int().positive().default(96),
  /** Availability zones whose engines and backend servers get no new requests. */
  evacuatedZones: z.array(name).default([]),
}).prefault({});

/** Schema of the fleet configuration. */
export const configSchema = z.strictObject({
  version: z.literal(1),
  owners: z.record(name, ownerSchema),
  deployments: z.record(name, deploymentSchema),
  ranks: ranksSchema,
  policy: policySchema,
});
