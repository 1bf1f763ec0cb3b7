/**
 * Mutual authentication between daemons: each side proves that it knows the peers' key for a fresh challenge.
 *
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import * as z from "zod";

/** Version of the protocol between daemons. */
export const PROTOCOL_VERSION = 1;

const NONCE_BYTES = 16;

/** Schema of the first frame of each side. */
export const helloSchema = z.strictObject({
  kind: z.literal("hello"),
  version: z.literal(PROTOCOL_VERSION),
  node: z.string().max(64),
  zone: z.string().max(64),
  incarnation: z.string().max(64),
  nonce: z.string().length(NONCE_BYTES * 2),
});

/** Schema of the second frame of each side. */
export const proofSchema = z.strictObject({
  kind: z.literal("proof"),
  mac: z.string().length(64),
});

/** First frame of a side. */
export type Hello = z.output<typeof helloSchema>;
/** Second frame of a side. */
export type Proof = z.output<typeof proofSchema>;

/** Side of a connection; included in the proof, so that a proof cannot be reflected to the side that sent it. */
export type Side = "dialer" | "listener";

/** Creates this side's hello with a new challenge. */
export function createHello(
  { name, zone, incarnation }: {
    name: string;
    zone: string;
    incarnation: string;
  },
): Hello {
  const nonce = randomBytes(NONCE_BYTES).toString("hex");
  return {
    kind: "hello",
    version: PROTOCOL_VERSION,
    node: name,
    zone,
    incarnation,
    nonce,
  };
}

/** Input of a proof. */
export interface ProofInput {
  key: string;
  side: Side;
  /** Hello of the side that proves. */
  own: Hello;
  /** Hello of the side that challenged. */
  other: Hello;
}

/** Computes a side's proof. */
export function createProof({ key, side, own, other }: ProofInput): Proof {
  const text = [
    side,
    own.node,
    own.incarnation,
    own.nonce,
    other.node,
    other.incarnation,
    other.nonce,
  ].join("\n");
  return {
    kind: "proof",
    mac: createHmac("sha256", key).update(text).digest("hex"),
  };
}

/** Returns true if a proof is correct; compares in constant time. */
export function isVerified(proof: Proof, input: ProofInput): boolean {
  const expected = Buffer.from(createProof(input).mac, "hex");
  const given = Buffer.from(proof.mac, "hex");
  return given.length === expected.length && timingSafeEqual(given, expected);
}
