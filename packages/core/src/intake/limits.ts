/**
 * Derives what a daemon may hold from the limits of its VM.
 *
 * @module
 */
import {
  CALLER_DESCRIPTORS,
  DAEMON_DESCRIPTORS,
  HEAD_COPIES,
  HEAD_ROOM_BYTES,
  HEADER_LINE_BYTES,
  MEMORY_SHARE,
  OPERATOR_DESCRIPTORS,
  PROCESS_MB,
} from "./constants.ts";
import type { IntakeLimits } from "./types.ts";

const BYTES_PER_MB = 1024 * 1024;
/** Room for the largest single response that is held until it is complete, bytes. */
const MIN_RESPONSE_BYTES = 16 * BYTES_PER_MB;

/** Limits of the VM and of callers that {@link intakeLimitsOf} starts from. */
export interface IntakeBounds {
  /** Memory of the VM, MB. */
  memoryMb: number;
  /** File descriptors that the process may open. */
  maxDescriptors: number;
  /** Largest body that a caller may send, bytes. */
  maxBodyBytes: number;
}

/**
 * Returns the limits for a VM. The budget always has room for one request of the largest size.
 *
 * @example
 * ```ts
 * intakeLimitsOf({ memoryMb: 256, maxDescriptors: 4_096, maxBodyBytes: 4_194_304 });
 * // { maxBytes: 20_971_520, maxResponseBytes: 20_971_520, maxCallers: 1_536, maxDaemons: 512, maxOperators: 128 }
 * ```
 */
export function intakeLimitsOf(
  { memoryMb, maxDescriptors, maxBodyBytes }: IntakeBounds,
): IntakeLimits {
  const freeMb = Math.max(0, memoryMb - PROCESS_MB);
  const share = Math.floor(freeMb * BYTES_PER_MB * MEMORY_SHARE);
  const connections = (part: number) =>
    Math.max(1, Math.floor(maxDescriptors * part));
  return {
    maxBytes: Math.max(share, maxBodyBytes + HEAD_ROOM_BYTES),
    maxResponseBytes: Math.max(share, MIN_RESPONSE_BYTES),
    maxCallers: connections(CALLER_DESCRIPTORS),
    maxDaemons: connections(DAEMON_DESCRIPTORS),
    maxOperators: connections(OPERATOR_DESCRIPTORS),
  };
}

/**
 * Returns what the head of a request takes in memory, bytes.
 *
 * @example
 * ```ts
 * headCost({ textBytes: 500, lines: 10 }); // 6_120
 * ```
 */
export function headCost(
  { textBytes, lines }: { textBytes: number; lines: number },
): number {
  return textBytes * HEAD_COPIES + lines * HEADER_LINE_BYTES;
}
