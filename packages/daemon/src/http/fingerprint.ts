/**
 * Identifies requests by their content, so that copies of a request are known as such.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** What two copies of a request have in common. */
export interface RequestContent {
  /** Who sends it. */
  caller: string;
  method: string;
  host: string;
  path: string;
  /** Further text that the response depends on, such as a prompt that is not in the body. */
  context?: string;
  body: Buffer;
}

const FINGERPRINT_CHARS = 32;

/**
 * Returns the fingerprint of a request, the same for all its copies.
 *
 * @example
 * ```ts
 * fingerprintOf({ caller: "team-a", method: "GET", host: "a.example", path: "/x", body }); // "9f86d081884c7d65..."
 * ```
 */
export function fingerprintOf(
  { caller, method, host, path, context = "", body }: RequestContent,
): string {
  const head = JSON.stringify([caller, method, host, path, context]);
  return createHash("sha256").update(head).update(body).digest("hex")
    .slice(0, FINGERPRINT_CHARS);
}
