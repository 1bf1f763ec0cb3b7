/**
 * Constants of the intake.
 *
 * @module
 */

/** Memory of a daemon that serves nothing, MB. */
export const PROCESS_MB = 96;
/**
 * Part of the memory beyond {@link PROCESS_MB} for callers' requests, and as much for responses. The rest is for buffers
 * that are free but not collected yet, which the runtime lets grow to some 64 MB.
 */
export const MEMORY_SHARE = 1 / 8;
/** Part of the descriptors for connections of callers; as many are left for connections to runners. */
export const CALLER_DESCRIPTORS = 3 / 8;
/** Part of the descriptors for connections of other daemons: followers and forwarded requests. */
export const DAEMON_DESCRIPTORS = 1 / 8;
/** Part of the descriptors for operators, and as much for checks of readiness. */
export const OPERATOR_DESCRIPTORS = 1 / 32;
/** Room beside the largest body, so that a single request always fits: its head at the cost of many short lines, bytes. */
export const HEAD_ROOM_BYTES = 9 * 256 * 1024;
/** Objects of the runtime for one header line: name, value and their places in lists, bytes. */
export const HEADER_LINE_BYTES = 512;
/** The text of a head is held as it came and once more in strings. */
export const HEAD_COPIES = 2;
/** Time for a body of a caller with a shorter deadline: 5 s, and a second for the way, ms. */
export const MIN_BODY_TIME_MS = 6_000;
/** Time for a body of a caller without a deadline, ms. */
export const DEFAULT_BODY_TIME_MS = 30_000;
/** Span in which {@link MIN_WINDOW_BYTES} of a body have to arrive, ms. */
export const PROGRESS_WINDOW_MS = 6_000;
/** Bytes of a body that have to arrive in {@link PROGRESS_WINDOW_MS}: a quarter of one small packet. */
export const MIN_WINDOW_BYTES = 320;
/** Part of the budget held by complete bodies from which on no more bodies are read. */
export const PAUSE_SHARE = 3 / 4;
/** Part of the budget held by complete bodies up to which bodies are read again. */
export const RESUME_SHARE = 1 / 2;
/** Chunks below this size cost processor time out of proportion to what they carry, bytes. */
export const SMALL_CHUNK_BYTES = 256;
/**
 * Small chunks between two sweeps, 500 ms apart, of all requests together. One takes some 3 us of a core, so these take
 * 75 ms, or 0.6 of the time on a quarter of a core. A body of 4 MiB in chunks of 1 KiB has 4,096 chunks, none small.
 */
export const MAX_SMALL_CHUNKS = 25_000;
/** Small chunks of one request between two sweeps from which on it may be given up for them; a small body is one. */
export const MANY_SMALL_CHUNKS = 64;
/** A sweep that comes later than this after the one before says nothing of callers: this daemon was late, ms. */
export const MAX_SWEEP_GAP_MS = 2_000;
