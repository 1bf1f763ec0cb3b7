/**
 * Limits of the fold. They must be the same at every daemon, or folded states would differ.
 *
 * @module
 */

/** Record level that this version understands. */
export const SUPPORTED_LEVEL = 1;
/** Time for which a claim is kept, in log time, ms; longer than any request's deadline. */
export const CLAIM_RETENTION_MS = 2 * 3_600_000;
/** Record ids kept to detect duplicates; covers hours of records at the append budget. */
export const SEEN_IDS_MAX = 16_384;
/** Number of past configurations kept for `config history`. */
export const HISTORY_MAX = 64;
/** Largest response body stored for a repeated key, in characters. */
export const STORED_RESPONSE_MAX_CHARS = 4_096;
