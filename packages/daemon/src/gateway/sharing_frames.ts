/**
 * Encodes and decodes the frames between daemons that share their reads of the store.
 *
 * @module
 */
import {
  type FollowerMessage,
  READ_SHARING_VERSION,
  type UpstreamMessage,
} from "@primroseshed/core";
import { Packr } from "msgpackr";
import type { RawData } from "ws";
import * as z from "zod";

/** Largest frame, bytes; large enough for the configuration and the runners of a large fleet. */
export const MAX_SHARING_FRAME_BYTES = 16 * 1024 * 1024;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });

const count = z.number().min(0);
const optional = <T extends z.ZodType>(type: T) =>
  type.nullish().transform((value) => value ?? undefined);

const position = z.object({ timeline: count, offset: count });

const route = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  kind: z.enum([
    "idempotent",
    "non_idempotent",
    "stream",
    "resumable_stream",
  ]),
  timeoutMs: count,
  targetLatencyMs: count,
  priority: z.number(),
  backends: z.array(z.object({ service: z.string(), weight: z.number() })),
  maxAttempts: z.number(),
  isPublic: z.boolean(),
  allowedRegions: optional(z.array(z.string())),
});

const model = z.object({
  name: z.string(),
  size: z.number(),
  share: z.number(),
  pace: z.number(),
  loadMs: z.number(),
});

const speed = z.object({
  stepMs: count,
  stepMsPerRequest: count,
  stepMsPerContextKiloToken: count,
  stepsPerPass: count,
  prefillTokensPerSecond: count,
  prefillChunkTokens: count,
  usual: optional(z.object({ promptTokens: count, outputTokens: count })),
});

const engine = z.object({
  slots: z.number(),
  kvTokens: z.number(),
  models: z.array(model),
  loadsPerSecond: z.number(),
  loadsAtOnce: z.number(),
  speed: optional(speed),
});

const coldStart = z.object({ durationMs: count, requestsPerSecond: count });

const team = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  priority: optional(z.number()),
  allowedRegions: optional(z.array(z.string())),
});

const routing = z.object({
  version: z.number(),
  routes: z.array(route),
  services: z.array(
    z.object({
      name: z.string(),
      engine: optional(engine),
      coldStart: optional(coldStart),
    }),
  ),
  teams: optional(z.array(team)),
  limits: z.object({
    maxHeaderBytes: z.number(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
});

const membership = z.object({
  group: z.string(),
  epoch: z.number(),
  rank: z.number(),
  state: z.enum(["joining", "ready", "open", "closing", "broken"]),
});

const runner = z.object({
  id: z.string(),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  slots: z.number(),
  state: z.enum(["ready", "draining"]),
  startedUnixMs: z.number(),
  writeCount: optional(count),
  coldForMs: optional(count),
  domain: optional(z.string()),
  staged: z.array(z.string()),
  model: optional(z.string()),
  membership: optional(membership),
});

const daemon = z.object({
  node: z.string(),
  zone: z.string(),
  address: z.string(),
  incarnation: z.string(),
  cores: z.number(),
  forwardKey: optional(z.string()),
});

const partReadings = z.array(z.object({
  record: z.object({
    part: z.string(),
    round: count,
    crashes: count,
    trials: count,
  }),
  ageMs: count,
}));

const suspects = z.object({
  kind: z.literal("suspects"),
  runners: z.array(z.string()),
});

const holdings = z.object({
  zone: z.string(),
  ids: z.array(count),
  ageMs: count,
  rows: z.array(z.object({
    route: z.string(),
    team: optional(z.string()),
    requests: count,
    tokens: count,
    waiting: count,
  })),
});

const limits = z.object({
  kind: z.literal("limits"),
  limits: z.array(
    z.object({ runner: z.string(), requestsPerSecond: optional(count) }),
  ),
  leaving: optional(
    z.array(z.object({ id: z.string(), startedUnixMs: z.number() })),
  ),
  loads: optional(z.array(z.object({
    runner: z.string(),
    running: count,
    waiting: count,
    ageMs: count,
    slowness: optional(count),
  }))),
  evidence: optional(z.array(
    z.object({ runner: z.string(), node: z.string(), ageMs: count }),
  )),
  holdings: optional(holdings),
});

const evacuations = optional(
  z.object({ zones: z.array(z.string()), position }),
);

const upstreamMessage = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("snapshot"),
    routing: optional(routing),
    runners: z.array(runner),
    runnersPosition: position,
    daemons: z.array(daemon),
    parts: partReadings,
    evacuations,
  }),
  z.object({ kind: z.literal("routing"), document: routing }),
  z.object({
    kind: z.literal("runners"),
    runners: z.array(runner),
    removedIds: z.array(z.string()),
    departedIds: z.array(z.string()),
    runnersPosition: position,
  }),
  z.object({ kind: z.literal("daemons"), daemons: z.array(daemon) }),
  z.object({ kind: z.literal("parts"), readings: partReadings }),
  suspects,
  limits,
  z.object({
    kind: z.literal("poll_answer"),
    poll: count,
    isReader: z.boolean(),
    timeline: optional(count),
    routingAgeMs: optional(count),
    runnersAgeMs: optional(count),
    evacuations,
  }),
]);

const followerMessage = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("poll"),
    version: z.literal(READ_SHARING_VERSION),
    poll: count,
    runnersPosition: position,
  }),
  suspects,
  limits,
]);

function unpack(data: RawData): unknown {
  const bytes = Array.isArray(data) ? Buffer.concat(data) : Buffer.from(
    data as Buffer,
  );
  return packr.unpack(bytes);
}

/** Encodes a message to or from a follower. */
export function encodeFrame(
  message: UpstreamMessage | FollowerMessage,
): Buffer {
  return packr.pack(message);
}

/**
 * Decodes a frame of an upstream.
 *
 * @throws {Error} The frame is not a message of this version of the protocol.
 */
export function decodeUpstreamFrame(data: RawData): UpstreamMessage {
  return upstreamMessage.parse(unpack(data));
}

/**
 * Decodes a frame of a follower.
 *
 * @throws {Error} The frame is not a message of this version of the protocol.
 */
export function decodeFollowerFrame(data: RawData): FollowerMessage {
  return followerMessage.parse(unpack(data));
}
