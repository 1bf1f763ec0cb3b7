/**
 * Authenticates callers and operators by their bearer keys.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { type Config, listCallers, type Principal } from "@primroseshed/core";
import { RequestError } from "./errors.ts";

/** Callers by the hash of their key. */
export type KeyIndex = ReadonlyMap<
  string,
  { principal: Principal; hash: Buffer }
>;

const BEARER = /^Bearer ([\x21-\x7e]+)$/;

/** Hashes a key with SHA-256, the form in which settings and configuration hold it. */
export function hashKey(key: string): Buffer {
  return createHash("sha256").update(key).digest();
}

/** Indexes the callers of a configuration by key hash. */
export function indexKeys(config: Config): KeyIndex {
  return new Map(
    listCallers(config).map(({ principal, keySha256 }) => [
      keySha256,
      { principal, hash: Buffer.from(keySha256, "hex") },
    ]),
  );
}

/** Returns the bearer key of an Authorization header, if it has one. */
export function bearerKey(header: string | undefined): string | undefined {
  return header === undefined ? undefined : BEARER.exec(header)?.[1];
}

/**
 * Returns the caller that an Authorization header identifies.
 *
 * The key is hashed before the look-up, and the hashes are compared in constant time.
 *
 * @throws {RequestError} The key is missing or unknown.
 */
export function authenticate(
  keys: KeyIndex,
  header: string | undefined,
): Principal {
  const key = bearerKey(header);
  if (key === undefined) {
    throw new RequestError(
      "unauthorized",
      "Cannot find a key; send it in the header Authorization: Bearer KEY",
    );
  }
  const hash = hashKey(key);
  const entry = keys.get(hash.toString("hex"));
  if (entry === undefined || !timingSafeEqual(entry.hash, hash)) {
    throw new RequestError(
      "unauthorized",
      "Cannot accept this key; check it with your operator",
    );
  }
  return entry.principal;
}

/** Returns true if a header carries the operators' key. */
export function isOperator(
  header: string | undefined,
  keySha256: string,
): boolean {
  const key = bearerKey(header);
  return key !== undefined &&
    timingSafeEqual(hashKey(key), Buffer.from(keySha256, "hex"));
}
