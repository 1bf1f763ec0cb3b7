/**
 * Makes one key of several names, whatever the names hold.
 *
 * @module
 */

/**
 * Returns a key of names in order; different names have different keys. An undefined part differs from every name.
 *
 * @example
 * ```ts
 * tupleKey("llm", "qwen:72b"); // "3:llm8:qwen:72b"
 * tupleKey("llm", undefined); // "3:llm-"
 * ```
 */
export function tupleKey(...parts: readonly (string | undefined)[]): string {
  let key = "";
  for (const part of parts) {
    key += part === undefined ? "-" : `${part.length}:${part}`;
  }
  return key;
}
