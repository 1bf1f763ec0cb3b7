/**
 * Names what may be blamed for a crash of a runner: each shared part of a request's prompt, and the request itself.
 *
 * @module
 */

/** Distinguishes the fingerprints of requests from the ids of parts of prompts. */
const REQUEST_PREFIX = "request:";

/**
 * Returns the ids of what may be blamed for a crash under a request, what is most specific last.
 *
 * @example
 * ```ts
 * crashSuspectsOf({ promptParts: ["5c1e"], fingerprint: "9f86" }); // ["5c1e", "request:9f86"]
 * ```
 */
export function crashSuspectsOf(
  { promptParts, fingerprint }: {
    promptParts: readonly string[];
    fingerprint: string | undefined;
  },
): readonly string[] {
  if (fingerprint === undefined) return promptParts;
  return [...promptParts, `${REQUEST_PREFIX}${fingerprint}`];
}

/** Returns whether an id is that of a whole request. */
export function isWholeRequest(suspect: string): boolean {
  return suspect.startsWith(REQUEST_PREFIX);
}
