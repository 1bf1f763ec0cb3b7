/**
 * Limits of the fold; the same at every daemon, or folds would differ.
 *
 * @module
 */

/** Record level that this version understands. */
export const SUPPORTED_LEVEL = 1;
/** Claims are kept this long by log time; longer than any request's deadline. */
export const CLAIM_RETENTION_MS = 2 * 3_600_000;
/** Ids remembered to drop repeats; hours of records at the append budget. */
export const SEEN_IDS_MAX = 16_384;
/** Past configurations kept for `config history`. */
export const HISTORY_MAX = 64;
/** Largest answer body kept for a repeated key, in characters. */
export const STORED_ANSWER_MAX_CHARS = 4_096;
