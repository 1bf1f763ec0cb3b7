/**
 * Schema of messages between daemons; a frame that does not match is dropped.
 *
 * @module
 */
import * as z from "zod";

const count = z.number().min(0);
const name = z.string().max(256);
const need = z.strictObject({ urgent: count, standard: count, batch: count });

const digest = z.strictObject({
  sequence: count,
  fold: count,
  config: count,
  draining: z.boolean(),
  needs: z.record(name, need),
  demands: z.record(name, count),
  hears: z.record(name, name),
  leaving: z.record(name, name),
});

const document = z.strictObject({
  base: z.unknown(),
  overlays: z.record(name, z.unknown()),
});
const config = z.strictObject({
  offset: count,
  at: z.number(),
  author: z.string(),
  document,
});

const dump = z.strictObject({
  next: count,
  at: z.number(),
  level: count,
  config: config.optional(),
  history: z.array(z.unknown()),
  leases: z.array(z.unknown()),
  groups: z.array(z.unknown()),
  vms: z.array(z.unknown()),
  claims: z.array(z.unknown()),
  usage: z.array(z.unknown()),
  seen: z.array(z.string()),
});

const partRecord = z.strictObject({
  part: name,
  round: count,
  crashes: count,
  trials: count,
});

/** Every message between daemons. */
export const messageSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("digest"), digest }),
  z.strictObject({ kind: z.literal("config_request"), above: count }),
  z.strictObject({ kind: z.literal("config_answer"), config }),
  z.strictObject({ kind: z.literal("parts"), records: z.array(partRecord) }),
  z.strictObject({ kind: z.literal("fold_request") }),
  z.strictObject({ kind: z.literal("fold_answer"), dump }),
]);
