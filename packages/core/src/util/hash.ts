/**
 * Stable, non-cryptographic hashes for placement and prefix matching; not suitable for secrets.
 *
 * @module
 */
import murmur from "murmurhash3js-revisited";

const UINT32_RANGE = 2 ** 32;
const encoder = new TextEncoder();

/** Hashes text to an unsigned 32-bit integer. */
export function hashText(text: string, seed = 0): number {
  return murmur.x86.hash32(encoder.encode(text), seed);
}

/** Hashes text to a fraction in [0, 1). */
export function hashFraction(text: string): number {
  return hashText(text) / UINT32_RANGE;
}

/** Characters of prompt text that one prefix block covers. */
export const PREFIX_BLOCK_CHARS = 256;
/** Longest prefix that is matched, in blocks. */
export const PREFIX_MAX_BLOCKS = 32;

/**
 * Hashes each whole block of a prompt, chained so that equal hashes mean equal prefixes.
 *
 * @example
 * ```ts
 * hashPrefixes("a".repeat(600)).length; // 2
 * ```
 */
export function hashPrefixes(prompt: string): number[] {
  const hashes: number[] = [];
  let chain = 0;
  const blocks = Math.min(
    PREFIX_MAX_BLOCKS,
    Math.floor(prompt.length / PREFIX_BLOCK_CHARS),
  );
  for (let block = 0; block < blocks; block++) {
    const start = block * PREFIX_BLOCK_CHARS;
    chain = hashText(prompt.slice(start, start + PREFIX_BLOCK_CHARS), chain);
    hashes.push(chain);
  }
  return hashes;
}
